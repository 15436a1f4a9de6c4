"""Test stand-ins for the systems around a node; not part of the product."""
