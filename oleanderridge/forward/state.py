"""Forward-only state machine of a request."""

from __future__ import annotations

from typing import Final

RECEIVED: Final = 'received'
QUEUED: Final = 'queued'
COMMITTED: Final = 'committed'
ANSWERED: Final = 'answered'

_PHASE_ORDER: Final = (RECEIVED, QUEUED, COMMITTED, ANSWERED)


class RequestState:
    """Processing phase of a request.

    Parameters
    ----------
    request_id : str
        The id in the reply and in the request to the target.

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
        """Move to a later phase; the current phase is accepted as well.

        Parameters
        ----------
        phase : str
            One of the four phases.

        Raises
        ------
        ValueError
            The phase is unknown or precedes the current one.
        """
        if phase not in _PHASE_ORDER:
            raise ValueError(f'unknown phase {phase!r}')
        if _PHASE_ORDER.index(phase) < _PHASE_ORDER.index(self.phase):
            raise ValueError(
                f'request {self.request_id}: phase {self.phase} to {phase}'
            )
        self.phase = phase
        self.may_have_run = self.may_have_run or phase == COMMITTED
