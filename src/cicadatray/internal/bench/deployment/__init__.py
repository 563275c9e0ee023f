"""A whole deployment as processes on loopback, for quickstart and fault runs."""
