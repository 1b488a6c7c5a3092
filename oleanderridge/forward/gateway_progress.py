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
_RETURN_TIME_S: Final = 0.02
# Sends that did not run, beyond the attempts that the route allows.
_NOT_EXECUTED_SENDS_MAX: Final = 3

_NOT_EXECUTED: Final = frozenset(
    (
        Outcome.NOT_SENT,
        Outcome.SHED,
        Outcome.UNUSED,
        Outcome.OTHER_TARGET,
    )
)


class SendResult(NamedTuple):
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
        timeout_s = route.timeout_s
        if terms.deadline_s is not None:
            timeout_s = min(timeout_s, terms.deadline_s - _RETURN_TIME_S)
        self.deadline = inbound.received_at + timeout_s
        self.sends: list[SendResult] = []
        self.in_flight = 0
        self.last_answer: Answer | None = None
        self.permit_refusal: Refused | None = None

    def count_possible_executions(self) -> int:
        """Return how many sends may have run at their target."""
        return sum(1 for send in self.sends if send.outcome not in _NOT_EXECUTED)

    def purpose(self) -> Purpose:
        """Return why the next slot is asked for."""
        if not self.sends:
            return Purpose.FIRST
        reached_target = any(
            send.outcome is not Outcome.NOT_SENT
            and send.outcome is not Outcome.UNUSED
            for send in self.sends
        )
        return Purpose.REPEAT if reached_target else Purpose.REPLACE

    def may_send(self) -> bool:
        """Return whether the route and the promises allow another send."""
        possible_executions = self.count_possible_executions()
        if len(self.sends) - possible_executions > _NOT_EXECUTED_SENDS_MAX:
            return False
        if self.route.kind != SAFE:
            return possible_executions == 0
        return possible_executions < self.route.max_attempts


class ActiveSend:
    """One send that is under way."""

    def __init__(self, grant: Grant, placed_by: str, started: float) -> None:
        self.grant = grant
        self.placed_by = placed_by
        self.started = started
        self.outcome = Outcome.CALLER_LEFT
        self.detail = ''
        self.answer_bytes = 0
