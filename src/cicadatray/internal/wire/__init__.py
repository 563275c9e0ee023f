"""Framing, authentication and remote calls between the processes of the system."""
