"""The entry instance: an HTTP proxy that routes callers' requests to backend servers."""
