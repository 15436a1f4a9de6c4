"""Connections between processes: TCP, gRPC and their interface."""
