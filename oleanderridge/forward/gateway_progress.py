"""What is known of a request while it is under way."""

from __future__ import annotations

from typing import Final, NamedTuple

from oleanderridge.gateway.model import SAFE, RouteRule, Workspace
from oleanderridge.gateway.outcomes import Outcome, Purpose
from oleanderridge.generated.fleet import Grant, Refused
from oleanderridge.http1.client import Answer
from oleanderridge.http1.messages import Inbound
from oleanderridge.platform.headers import CallerTerms

# Time that the answer needs on its way back to the caller.
_RETURN_S: Final = 0.02
# Sends that did not run, beyond the attempts that the route allows.
_NOT_RUN_MAX: Final = 3

_NOT_RUN: Final = frozenset(
    (
        Outcome.NOT_SENT,
        Outcome.SHED,
        Outcome.UNUSED,
        Outcome.OTHER_TARGET,
    )
)


class Sent(NamedTuple):
    """One send and its end."""

    target: str
    outcome: Outcome
    latency_s: float


class RequestProgress:
    """What is known of one request while it is under way."""

    def __init__(
        self,
        inbound: Inbound,
        terms: CallerTerms,
        route: RouteRule,
        workspace: Workspace | None,
        service: str,
        version: int,
    ) -> None:
        self.inbound = inbound
        self.terms = terms
        self.route = route
        self.workspace = workspace
        self.service = service
        self.version = version
        limit_s = route.timeout_s
        if terms.deadline_s is not None:
            limit_s = min(limit_s, terms.deadline_s - _RETURN_S)
        self.limit_at = inbound.received_at + limit_s
        self.sent: list[Sent] = []
        self.in_flight = 0
        self.last_answer: Answer | None = None
        self.refused: Refused | None = None

    def may_have_run(self) -> int:
        """Return how many sends may have run at their target."""
        return sum(1 for each in self.sent if each.outcome not in _NOT_RUN)

    def purpose(self) -> Purpose:
        """Return why the next slot is asked for."""
        if not self.sent:
            return Purpose.FIRST
        arrived = any(
            each.outcome is not Outcome.NOT_SENT
            and each.outcome is not Outcome.UNUSED
            for each in self.sent
        )
        return Purpose.REPEAT if arrived else Purpose.REPLACE

    def may_send(self) -> bool:
        """Return whether the route and the promises allow another send."""
        ran = self.may_have_run()
        if len(self.sent) - ran > _NOT_RUN_MAX:
            return False
        if self.route.kind != SAFE:
            return ran == 0
        return ran < self.route.max_attempts


class Flight:
    """One send that is under way."""

    def __init__(self, grant: Grant, placed_by: str, started: float) -> None:
        self.grant = grant
        self.placed_by = placed_by
        self.started = started
        self.outcome = Outcome.CALLER_LEFT
        self.detail = ''
        self.answer_bytes = 0
