"""Look-ups: which instances a caller should use."""
