"""Small stand-ins for the platform's workers, callers' endpoints and broken links."""
