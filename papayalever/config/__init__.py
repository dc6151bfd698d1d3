"""Aggregate of the operators' configuration."""
