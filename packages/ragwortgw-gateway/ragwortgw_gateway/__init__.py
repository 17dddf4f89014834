"""Decisions of a gateway: an entry that calls backend servers itself.

The package has no input or output of its own: a process passes events to
gateway.REDUCER and carries out the effects that it returns.
"""
