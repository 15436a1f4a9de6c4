"""HTTP endpoint of a node for its operators."""
