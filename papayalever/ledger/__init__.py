"""At-most-once ledger for non-idempotent requests."""
