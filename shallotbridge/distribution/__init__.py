"""Distributes the configuration and the upstreams to the nodes."""
