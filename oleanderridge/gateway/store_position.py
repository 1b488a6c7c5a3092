"""Order of what is read from the store, across its returns from a copy.

The store may come back from an older copy of itself. Its revisions then go back
and are given out again, and its era rises by one.
"""

from __future__ import annotations

from typing import Final, NamedTuple


class StorePosition(NamedTuple):
    """A point in the store's history; positions compare by era first."""

    era: int
    revision: int


NO_POSITION: Final = StorePosition(0, 0)


class Statement(NamedTuple):
    """What orders the entries of one target.

    ``born_ms`` and ``sequence`` are the target's own: its start and its count
    of writes since then. They are kept when the store comes back from a copy.
    """

    position: StorePosition
    born_ms: int
    sequence: int


def is_later(statement: Statement, former: Statement) -> bool:
    """Return whether a target made a statement after a former one.

    Parameters
    ----------
    statement : Statement
        A statement of the target.
    former : Statement
        Another one of the same target.

    Returns
    -------
    bool
        Revisions decide within an era. Between eras the target's own numbers
        do, since a copy brings back former statements at a higher position.
    """
    if statement.position.era == former.position.era:
        return statement.position.revision > former.position.revision
    return _own_numbers(statement) > _own_numbers(former)


def replaces(statement: Statement, known: Statement) -> bool:
    """Return whether a statement takes the place of a known one.

    Parameters
    ----------
    statement : Statement
        A statement of the target.
    known : Statement
        The one in use.

    Returns
    -------
    bool
        True also for the known statement at its position in a later era.
    """
    if is_later(statement, known):
        return True
    return statement.position.era > known.position.era and _own_numbers(
        statement
    ) == _own_numbers(known)


def _own_numbers(statement: Statement) -> tuple[int, int]:
    return statement.born_ms, statement.sequence
