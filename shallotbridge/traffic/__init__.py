"""Routing, admission, limits and retries of requests."""
