"""Lookups: the instances that a caller should use."""
