"""Randomized soak of real nodes on loopback; faults come from outside."""
