"""Implementation modules, which are not a public interface and may change in any release."""
