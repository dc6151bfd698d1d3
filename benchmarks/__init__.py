"""Measurements: commands that print figures, not tests."""
