"""Small in-memory stand-ins around the real request path, for the virtual clock."""
