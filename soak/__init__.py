"""Randomized soak test of real nodes on loopback, with fault injection."""
