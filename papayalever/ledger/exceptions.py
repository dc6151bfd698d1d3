"""Errors of the ledger."""


class LedgerError(Exception):
    """Base class of the ledger's errors."""


class LedgerUnavailableError(LedgerError):
    """No primary with a backup answered in time; the attempt was not granted."""
