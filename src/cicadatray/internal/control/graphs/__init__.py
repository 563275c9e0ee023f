"""Task graphs in the control role."""
