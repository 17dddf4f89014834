"""Decisions of the router as deterministic state machines, free of I/O.

A reducer takes a state, a time stamp with a random seed, and an event; it
returns effects, which the server package carries out.
"""
