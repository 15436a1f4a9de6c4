"""Demonstration and measurements; not part of the product."""
