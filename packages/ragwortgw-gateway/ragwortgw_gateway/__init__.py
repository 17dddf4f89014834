"""Decisions of a gateway: an entry that calls backend servers itself."""
