"""Decisions of a gateway, which routes requests to backend servers.

A gateway is an entry that calls the backend servers itself. The package has
no input or output of its own: a process passes events to gateway.REDUCER
and carries out the effects that it returns.
"""
