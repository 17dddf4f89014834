"""The entry and agent processes."""
