"""Decisions about a request: admission, route, backend server and retries."""
