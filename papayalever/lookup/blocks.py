"""Map from IPv4 address blocks to the home regions of their callers, in sorted arrays."""

from array import array
from bisect import bisect_right
from collections.abc import Iterable, Sequence
from ipaddress import AddressValueError, IPv4Address

from ..config.networks import Network

NO_HOME = 0xFFFF
"""Home index of an interval that no block covers."""


class BlockMap:
    """Home regions by IPv4 address, in intervals that take 6 bytes each."""

    def __init__(self, blocks: Iterable[tuple[Network, str]], homes: Sequence[str]) -> None:
        self._homes = tuple(homes)
        self._starts = array("I")
        self._home_indexes = array("H")
        index_by_home = {home: index for index, home in enumerate(homes)}
        # Of blocks with the same start, the wider ones come first.
        self._build(sorted((net.start, -net.end, index_by_home[home]) for net, home in blocks))

    def __len__(self) -> int:
        return len(self._starts)

    def find(self, address: int) -> str | None:
        """Return the home region of an address, or None if no block contains it."""
        position = bisect_right(self._starts, address) - 1
        if position < 0:
            return None
        index = self._home_indexes[position]
        return None if index == NO_HOME else self._homes[index]

    def find_block(self, address: int) -> int:
        """Return the index of an address's interval, or -1 if it precedes the first one."""
        return bisect_right(self._starts, address) - 1

    def _build(self, blocks: list[tuple[int, int, int]]) -> None:
        """Flatten nested blocks into disjoint intervals, where narrower blocks take precedence."""
        enclosing: list[tuple[int, int]] = []
        for start, negative_end, home in blocks:
            end = -negative_end
            self._end_blocks_before(enclosing, start)
            self._append(start, home)
            enclosing.append((end, home))
        self._end_blocks_before(enclosing, 1 << 32)

    def _end_blocks_before(self, enclosing: list[tuple[int, int]], start: int) -> None:
        while enclosing and enclosing[-1][0] <= start:
            end, _ = enclosing.pop()
            if end < 1 << 32:
                self._append(end, enclosing[-1][1] if enclosing else NO_HOME)

    def _append(self, start: int, home: int) -> None:
        if self._starts and self._starts[-1] == start:
            self._home_indexes[-1] = home
            return
        self._starts.append(start)
        self._home_indexes.append(home)


def parse_address(text: str) -> int | None:
    """Return an IPv4 address as an integer, or None if the text is not an IPv4 address."""
    try:
        return int(IPv4Address(text))
    except AddressValueError:
        return None
