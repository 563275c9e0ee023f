"""Programs that measure and test the product on one machine."""
