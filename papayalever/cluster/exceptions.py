"""Errors of the communication between instances."""


class ClusterError(Exception):
    """Base class of the errors in this package."""


class CodecError(ClusterError):
    """The frame does not contain a message known to this version."""


class PeerUnreachableError(ClusterError):
    """The connection to a peer failed or was lost; the peer may have received the request."""


class PeerTimeoutError(PeerUnreachableError):
    """The peer did not reply in time; it may have received the request."""
