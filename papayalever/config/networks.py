"""IPv4 networks in CIDR notation, stored as two integers to save memory, as there are many."""

from dataclasses import dataclass
from ipaddress import IPv4Network
from typing import Annotated, Any

from pydantic import PlainSerializer, PlainValidator

ADDRESS_BITS = 32


@dataclass(frozen=True, slots=True)
class Network:
    """Addresses from ``start`` up to, but not including, ``end``."""

    start: int
    end: int

    def __str__(self) -> str:
        bits = ADDRESS_BITS + 1 - (self.end - self.start).bit_length()
        octets = self.start.to_bytes(4, "big")
        return f"{octets[0]}.{octets[1]}.{octets[2]}.{octets[3]}/{bits}"


def parse_network(value: Any) -> Network:
    """Parse ``a.b.c.d/bits``; raises `ValueError` for an invalid network."""
    if isinstance(value, Network):
        return value
    address, _, bits = str(value).partition("/")
    octets = address.split(".")
    if len(octets) == 4 and bits.isdecimal() and all(map(str.isdecimal, octets)):
        first, second, third, fourth = map(int, octets)
        size = 1 << max(0, ADDRESS_BITS - int(bits))
        start = (first << 24) | (second << 16) | (third << 8) | fourth
        is_in_range = max(first, second, third, fourth) < 256 and int(bits) <= ADDRESS_BITS
        if is_in_range and start % size == 0:
            return Network(start, start + size)
    # `IPv4Network` raises an error that describes what is wrong.
    network = IPv4Network(value)
    start = int(network.network_address)
    return Network(start, start + network.num_addresses)


Cidr = Annotated[Network, PlainValidator(parse_network), PlainSerializer(str, return_type=str)]
