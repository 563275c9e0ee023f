"""The agent role: the process that drives one endpoint or worker on its instance."""
