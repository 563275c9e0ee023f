"""In-memory peers of the real request path, for runs on the virtual clock."""
