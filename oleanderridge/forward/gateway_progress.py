"""State of a gateway request while it is being processed."""

from __future__ import annotations

from typing import Final, NamedTuple

from oleanderridge.forward.fingerprint import fingerprint_of
from oleanderridge.gateway.model import (
    NO_NOTICE,
    SAFE,
    RouteRule,
    Workspace,
)
from oleanderridge.gateway.outcomes import Ground, Outcome, Purpose
from oleanderridge.generated.fleet import Grant, Refused
from oleanderridge.http1.client import Answer
from oleanderridge.http1.messages import Inbound
from oleanderridge.platform.headers import CallerTerms

# Time reserved for the response to reach the caller.
_RETURN_TIME_S: Final = 0.02
# Limit of sends without execution; they do not count as route attempts.
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
    """A finished send."""

    target: str
    outcome: Outcome
    latency_s: float


class RequestProgress:
    """State of one request while it is being processed."""

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
        # The answer may be on its way to the caller for longer than the
        # deadline, but not beyond the time that the caller waits.
        self.ends_by = self.deadline
        if terms.deadline_s is not None:
            self.ends_by = inbound.received_at + terms.deadline_s
        self.sends: list[SendResult] = []
        self.addresses: set[str] = set()
        self.in_flight = 0
        self.last_answer: Answer | None = None
        self.permit_refusal: Refused | None = None
        self.ground = Ground.UNLIMITED
        self.fingerprint = fingerprint_of(inbound, terms.host, workspace)

    def count_possible_executions(self) -> int:
        """Return how many sends a target may have executed."""
        return sum(
            1 for send in self.sends if send.outcome not in _NOT_EXECUTED
        )

    def was_sent(self) -> bool:
        """Return whether a target may have executed or may be executing it."""
        return self.in_flight > 0 or self.count_possible_executions() > 0

    def purpose(self) -> Purpose:
        """Return the purpose to state when acquiring the next permit."""
        if not self.sends:
            return Purpose.FIRST
        reached_target = any(
            send.outcome is not Outcome.NOT_SENT
            and send.outcome is not Outcome.UNUSED
            for send in self.sends
        )
        return Purpose.REPEAT if reached_target else Purpose.REPLACE

    def may_send(self) -> bool:
        """Return whether another send is within the limits.

        A request that is not idempotent is never sent again once a target
        may have executed it.
        """
        possible_executions = self.count_possible_executions()
        if len(self.sends) - possible_executions > _NOT_EXECUTED_SENDS_MAX:
            return False
        if self.route.kind != SAFE:
            return possible_executions == 0
        return possible_executions < self.route.max_attempts


class ActiveSend:
    """A send in progress."""

    def __init__(self, grant: Grant, placed_by: str, started: float) -> None:
        self.grant = grant
        self.placed_by = placed_by
        self.started = started
        self.outcome = Outcome.CALLER_LEFT
        self.detail = ''
        self.answer_bytes = 0
        self.notice = NO_NOTICE
        self.target_ended = False
