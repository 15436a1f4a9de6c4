"""Assembles a node, and reports on it: metrics and request histories."""
