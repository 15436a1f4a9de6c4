"""Routing, admission control, limits and retries of requests."""
