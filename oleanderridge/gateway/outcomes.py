"""What became of a send, as hosts report it to each other."""

from __future__ import annotations

from enum import IntEnum


class Outcome(IntEnum):
    """End of one permit; the numbers are on the wire."""

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


# The request did not reach the target, so the send counts nowhere.
UNSENT = frozenset((Outcome.NOT_SENT, Outcome.UNUSED))


class Purpose(IntEnum):
    """Why a slot is asked for; the numbers are on the wire.

    A replacement follows a first send that never left its host: it counts
    against no rate and no budget.
    """

    FIRST = 0
    REPEAT = 1
    REPLACE = 2
