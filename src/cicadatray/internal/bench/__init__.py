"""Runs that measure or prove the product on one machine."""
