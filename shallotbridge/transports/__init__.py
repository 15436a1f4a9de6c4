"""Connections between processes over TCP and gRPC, and their interfaces."""
