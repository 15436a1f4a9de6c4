"""How the published configuration and the upstreams reach a node."""
