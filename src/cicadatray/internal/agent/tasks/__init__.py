"""Tasks of graphs on the worker beside an agent."""
