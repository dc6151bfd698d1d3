"""Adapter to the users' platform: decodes its settings, objects and headers into our own types."""
