"""Adapter for the deployment platform: converts its settings, objects and headers to own types."""
