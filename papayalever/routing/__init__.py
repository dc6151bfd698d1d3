"""Decisions on one request: admission, backend server, retries."""
