"""Parts that are not a public interface and may change in any release."""
