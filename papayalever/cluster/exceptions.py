"""Errors of the layer between instances."""


class ClusterError(Exception):
    """Base of the errors between instances."""


class CodecError(ClusterError):
    """A frame that is not a message of this version."""


class PeerUnreachableError(ClusterError):
    """No connection to a peer, or it was lost; the request may have arrived."""


class PeerTimeoutError(PeerUnreachableError):
    """No reply in time; the request may have arrived."""
