"""Task graphs in the control role: durable state, placement, and calls of agents and entries."""
