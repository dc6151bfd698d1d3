"""Copy of the stored objects that an instance needs, with enough history to pass changes on."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..cluster.messages import KindUpdate

HISTORY = 200
"""Changes of a kind that are kept for others; who is further behind gets the whole kind."""

Taken = Callable[[KindUpdate], None]


@dataclass(slots=True)
class KindCopy:
    """Objects of one kind."""

    kind: str
    revision: int = -1
    value_by_name: dict[str, bytes] = field(default_factory=dict)
    history: deque[KindUpdate] = field(default_factory=lambda: deque(maxlen=HISTORY))
    base: int = -1
    """Revision before the oldest change of the history."""


class StoreCopy:
    """All kinds; tells the instance's own tables and whoever waits of each change."""

    def __init__(self, kinds: tuple[str, ...], take: Taken) -> None:
        self._copy_by_kind = {kind: KindCopy(kind) for kind in kinds}
        self._take = take
        self._changed = asyncio.Event()

    @property
    def is_complete(self) -> bool:
        """Whether every kind has been read once."""
        return all(copy.revision >= 0 for copy in self._copy_by_kind.values())

    @property
    def revision_by_kind(self) -> dict[str, int]:
        """What is held, -1 for a kind that was never read."""
        return {kind: copy.revision for kind, copy in self._copy_by_kind.items()}

    def revision(self, kind: str) -> int | None:
        """Revision held of a kind, None if it was never read."""
        revision = self._copy_by_kind[kind].revision
        return revision if revision >= 0 else None

    def apply(self, news: KindUpdate) -> bool:
        """Take news over unless what is held is as new; returns whether they were taken."""
        copy = self._copy_by_kind.get(news.kind)
        if copy is None or news.revision < copy.revision:
            return False
        if news.is_snapshot:
            copy.value_by_name = {}
            copy.history.clear()
            copy.base = news.revision
        elif not news.changes:
            copy.revision = news.revision
            return True
        else:
            if len(copy.history) == HISTORY:
                copy.base = copy.history[0].revision
            copy.history.append(news)
        for name, value in news.changes:
            if value is None:
                copy.value_by_name.pop(name, None)
            else:
                copy.value_by_name[name] = value
        copy.revision = news.revision
        self._take(news)
        self._changed.set()
        self._changed = asyncio.Event()
        return True

    def since(self, revision_by_kind: dict[str, int]) -> list[KindUpdate]:
        """News for somebody who holds other revisions."""
        found = []
        for kind, copy in self._copy_by_kind.items():
            known = revision_by_kind.get(kind, -1)
            if copy.revision < 0 or known >= copy.revision:
                continue
            if known < copy.base:
                changes = list(copy.value_by_name.items())
                found.append(KindUpdate(kind, copy.revision, True, changes))
                continue
            later = [news for news in copy.history if news.revision > known]
            if later:
                changes = [change for news in later for change in news.changes]
                is_after = any(news.is_after_outage for news in later)
                found.append(KindUpdate(kind, copy.revision, False, changes, is_after))
        return found

    async def wait_change(self, timeout_s: float) -> None:
        """Wait until something changes or the time is over."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return
