"""The tool `cicadatray` for callers and operators."""
