"""Task graphs: their model, their progress and the placement of their tasks on workers."""
