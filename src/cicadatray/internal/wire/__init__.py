"""Framing, authentication and remote procedure calls between the processes of the system."""
