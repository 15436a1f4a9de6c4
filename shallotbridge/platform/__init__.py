"""Adapter to the users' platform; no other package uses its vocabulary."""
