"""The entry role: HTTP for callers and operators, routing and retries."""
