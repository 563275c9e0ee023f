"""The adapter between cicadatray and the users' platform: names, settings and calls."""
