"""Network addresses of the form ``IPv4 address:port``."""

from ipaddress import AddressValueError, IPv4Address

MAX_PORT = 65_535


def is_address(text: str) -> bool:
    """Whether a text is an IPv4 address and a port that can be connected to."""
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))):
        return False
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    return 0 < int(port) <= MAX_PORT
