"""The one-way state machine of one request."""

from __future__ import annotations

from typing import Final

RECEIVED: Final = 'received'
QUEUED: Final = 'queued'
COMMITTED: Final = 'committed'
ANSWERED: Final = 'answered'

_ORDER: Final = (RECEIVED, QUEUED, COMMITTED, ANSWERED)


class RequestState:
    """How far a request has come.

    Parameters
    ----------
    request_id : str
        The id that the reply and the target's request carry.

    Attributes
    ----------
    phase : str
        ``received``, ``queued``, ``committed`` or ``answered``.
    may_have_run : bool
        Whether a byte of the request may have reached a target. Stays true
        once set, also after ``answered``.
    """

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.phase = RECEIVED
        self.may_have_run = False

    def advance(self, phase: str) -> None:
        """Move to a later phase; the current phase again is no change.

        Parameters
        ----------
        phase : str
            One of the four phases.

        Raises
        ------
        ValueError
            The phase is unknown or lies before the current one.
        """
        if phase not in _ORDER:
            raise ValueError(f'unknown phase {phase!r}')
        if _ORDER.index(phase) < _ORDER.index(self.phase):
            raise ValueError(
                f'request {self.request_id}: {self.phase} to {phase}'
            )
        self.phase = phase
        self.may_have_run = self.may_have_run or phase == COMMITTED
