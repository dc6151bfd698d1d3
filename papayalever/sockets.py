"""Socket options with which the system itself detects a peer that went silent."""

import fcntl
import select
import socket
import struct
import termios

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
USER_TIMEOUT_MS = 1500
"""TCP_USER_TIMEOUT: limit on unacknowledged data, four retransmissions within one region. Once it
is set, it also decides when keep-alive probes give up, whatever their count."""
SILENT_S = KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S
"""Time after which an idle connection whose peer went silent is closed: at the second probe, the
first that finds the peer silent for `USER_TIMEOUT_MS`. Less than the 4 s within which the bounds
must hold again."""


def has_peer_left(sock: socket.socket | None) -> bool:
    """Whether the peer closed or reset a connection, also behind bytes that are not read yet."""
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    try:
        return bool(poll.poll(0))
    except OSError:
        # Not reported; the end shows with the next read.
        return False


def count_unacknowledged(sock: socket.socket | None) -> int:
    """Bytes that were written and that the peer's system has not received; 0 if not reported."""
    if sock is None:
        return 0
    try:
        reported = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except (OSError, ValueError):
        # The system does not report it, or the socket is closed.
        return 0
    return struct.unpack("i", reported)[0]


def detect_silent_peer(sock: socket.socket | None) -> None:
    """Set the options on a connection to a server, the store or another instance."""
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
