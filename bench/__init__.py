"""Demo and benchmarks; not part of the product."""
