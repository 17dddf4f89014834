"""Messages between the processes of the router."""
