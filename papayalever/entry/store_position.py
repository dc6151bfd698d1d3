"""Order of the states of the store: the era first, then the revision.

The store counts its changes by revision. When it restores a copy, it loses the latest changes,
gives their revisions out again, and counts a new era. A position combines both in one integer that
is greater the newer the state is. A store that names no era is in era 0, where positions equal
revisions.
"""

REVISION_BITS = 63
MAX_REVISION = (1 << REVISION_BITS) - 1
NEVER_READ = -1
"""Position of a kind that was never read; lower than every other one."""


def make_position(era: int, revision: int) -> int:
    """Position of a revision from 0 to `MAX_REVISION` in an era."""
    return era << REVISION_BITS | revision


def era_of(position: int) -> int:
    """Era of a position; -1 if it is `NEVER_READ`."""
    return position >> REVISION_BITS


def revision_of(position: int) -> int:
    """Revision of a position within its era."""
    return position & MAX_REVISION
