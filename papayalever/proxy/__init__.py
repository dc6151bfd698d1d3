"""HTTP proxy: listeners for callers and operators, and the client of the backend servers."""
