"""Developer tools; not part of the product."""
