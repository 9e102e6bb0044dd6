"""Second attempts at slow requests, within a limit over all hosts."""
