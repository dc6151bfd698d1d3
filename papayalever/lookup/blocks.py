"""Map from callers' address blocks to home regions, as sorted arrays."""

from array import array
from bisect import bisect_right
from collections.abc import Iterable, Sequence
from ipaddress import AddressValueError, IPv4Address

from ..config.networks import Network

NO_HOME = 0xFFFF


class BlockMap:
    """Home region by IPv4 address; 6 bytes for each boundary between blocks."""

    def __init__(self, blocks: Iterable[tuple[Network, str]], homes: Sequence[str]) -> None:
        self._homes = tuple(homes)
        self._starts = array("I")
        self._home_indexes = array("H")
        index_by_home = {home: index for index, home in enumerate(homes)}
        # Wider blocks come first among those with the same start.
        self._build(sorted((net.start, -net.end, index_by_home[home]) for net, home in blocks))

    def __len__(self) -> int:
        return len(self._starts)

    def find(self, address: int) -> str | None:
        """Home region of an address, None outside every block."""
        position = bisect_right(self._starts, address) - 1
        if position < 0:
            return None
        home = self._home_indexes[position]
        return None if home == NO_HOME else self._homes[home]

    def find_block(self, address: int) -> int:
        """Index of the interval that holds an address, -1 before the first."""
        return bisect_right(self._starts, address) - 1

    def _build(self, blocks: list[tuple[int, int, int]]) -> None:
        """Flatten nested blocks: the narrower one wins inside the wider one."""
        enclosing: list[tuple[int, int]] = []
        for start, negative_end, home in blocks:
            end = -negative_end
            self._close_before(enclosing, start)
            self._append(start, home)
            enclosing.append((end, home))
        self._close_before(enclosing, 1 << 32)

    def _close_before(self, enclosing: list[tuple[int, int]], start: int) -> None:
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
    """An IPv4 address as a number, None if it is not one."""
    try:
        return int(IPv4Address(text))
    except AddressValueError:
        return None
