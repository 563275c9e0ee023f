"""The adapter to the users' platform: its document formats, settings file and HTTP interfaces."""
