"""Cases and stand-ins of the independent review."""
