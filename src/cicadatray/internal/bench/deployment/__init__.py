"""A complete deployment of processes on the loopback interface, for quickstart and fault runs."""
