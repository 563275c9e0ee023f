"""Messages between the processes of the system, one module for each subject."""
