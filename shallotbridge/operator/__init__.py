"""The operators' HTTP endpoint of a node."""
