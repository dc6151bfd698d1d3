"""Benchmarks: commands that measure and print tables."""
