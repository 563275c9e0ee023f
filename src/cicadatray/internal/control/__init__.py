"""The control role: durable state, scheduling, leases and the directory of agents."""
