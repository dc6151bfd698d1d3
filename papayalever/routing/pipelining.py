"""Which requests of a connection give way to an urgent one that was sent behind them.

Load pattern: during a burst of delay-tolerant requests these wait seconds for their servers.
Callers send urgent requests behind them on the same connections, and the responses have to keep
the order of the requests, so that a quarter of the urgent ones are late although their own servers
answered at once. A delay-tolerant request that has not been sent yet is refused then: its caller
comes back on another connection, in time, and the urgent one is answered.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .server_queue import TOLERANT_TARGET_RATIO


@dataclass(eq=False, slots=True)
class Turn:
    """A request among those of its connection."""

    target_s: float
    """Its latency target."""
    give_way: Callable[[], None] | None = None
    """Refuses the request; None while it is not waiting for a server, or may have run."""


def find_blocking(ahead: Iterable[Turn], target_s: float) -> list[Turn]:
    """The turns that have to give way to a request with a target of ``target_s``.

    Empty if that would not help: one of the delay-tolerant requests ahead has been sent and keeps
    the connection busy anyway.
    """
    blocking = [turn for turn in ahead if is_delay_tolerant(turn.target_s, target_s)]
    return blocking if all(turn.give_way for turn in blocking) else []


def is_delay_tolerant(target_s: float, urgent_target_s: float) -> bool:
    """Whether a request can wait for one with a much shorter target."""
    return target_s >= TOLERANT_TARGET_RATIO * urgent_target_s
