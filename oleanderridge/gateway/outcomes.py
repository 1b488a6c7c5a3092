"""Outcomes and purposes of slot requests, as exchanged between hosts."""

from __future__ import annotations

from enum import IntEnum
from typing import Final


class Outcome(IntEnum):
    """Outcome of a permit; the values are part of the wire protocol."""

    ANSWERED = 0
    FAILED = 1
    HUNG = 2
    RESET = 3
    NOT_SENT = 4
    SHED = 5
    UNUSED = 6
    GARBLED = 7
    CALLER_LEFT = 8
    OTHER_TARGET = 9


# The request did not reach the target, so the attempt is not counted.
UNSENT = frozenset((Outcome.NOT_SENT, Outcome.UNUSED))


class Ground(IntEnum):
    """Why a request may use a rate; the values are part of the wire protocol.

    ``UNLIMITED`` also stands for later sends of a request, which use none.
    """

    UNLIMITED = 0
    LEADER = 1
    ALONE = 2

    @classmethod
    def of(cls, number: int) -> Ground:
        """Return the ground of a message; newer hosts may state others."""
        return _GROUND_BY_NUMBER.get(number, cls.UNLIMITED)


_GROUND_BY_NUMBER: Final = {int(ground): ground for ground in Ground}


class Purpose(IntEnum):
    """Why a slot is requested; the values are part of the wire protocol.

    A replacement follows a first attempt that was never sent, so it counts
    against no rate limit and no retry budget.
    """

    FIRST = 0
    REPEAT = 1
    REPLACE = 2
