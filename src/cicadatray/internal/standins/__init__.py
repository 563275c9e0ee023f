"""Stand-ins for workers of the platform, endpoints of callers and interruptible network links."""
