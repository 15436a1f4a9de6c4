"""Connections and messages between nodes."""
