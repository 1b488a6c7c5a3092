"""Exchanges the use of retry budgets between placements."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

from oleanderridge.dispatch.retry_budget import NO_RETRIES, RetryHistory
from oleanderridge.dispatch.service_state import ServiceState
from oleanderridge.generated.fleet import RetryUse

# Services that are reported, the busiest first.
_MAX_SERVICES: Final = 16


def retry_uses(
    service_by_name: Mapping[str, ServiceState], now: float
) -> list[RetryUse]:
    """Return the retries of the last window, for possible successors.

    Parameters
    ----------
    service_by_name : mapping
        All services.
    now : float
        Monotonic seconds.

    Returns
    -------
    list of RetryUse
        Without services that have hardly used their budget.
    """
    uses = []
    for name, service in service_by_name.items():
        history = service.budget.history(now)
        if history is not None:
            uses.append(RetryUse(name, *history))
    uses.sort(key=_retry_count, reverse=True)
    return uses[:_MAX_SERVICES]


def record_retry_uses(
    service_by_name: Mapping[str, ServiceState],
    uses: Iterable[RetryUse],
    now: float,
) -> None:
    """Record the retries that the leader has granted.

    Parameters
    ----------
    service_by_name : mapping
        All services; the unnamed ones have hardly used their budget.
    uses : iterable of RetryUse
        What the leader reports.
    now : float
        Monotonic seconds.
    """
    history_by_service = {
        use.service: RetryHistory(use.requests, use.retries_by_age)
        for use in uses
    }
    for name, service in service_by_name.items():
        history = history_by_service.get(name, NO_RETRIES)
        service.budget.record_leader(history, now)


def own_retry_uses(
    service_by_name: Mapping[str, ServiceState], now: float
) -> list[RetryUse]:
    """Return the retries that this host granted, for the leader.

    Parameters
    ----------
    service_by_name : mapping
        All services.
    now : float
        Monotonic seconds.

    Returns
    -------
    list of RetryUse
        Without requests, which the leader counts.
    """
    uses = []
    for name, service in service_by_name.items():
        retries_by_age = service.budget.own_retries(now)
        if retries_by_age:
            uses.append(RetryUse(name, 0, retries_by_age))
    uses.sort(key=_retry_count, reverse=True)
    return uses[:_MAX_SERVICES]


def record_follower_retry_uses(
    service_by_name: Mapping[str, ServiceState],
    host: str,
    uses: Iterable[RetryUse],
    now: float,
) -> None:
    """Record the retries that a follower granted itself.

    Parameters
    ----------
    service_by_name : mapping
        All services; others are left out.
    host : str
        The follower.
    uses : iterable of RetryUse
        What it reports.
    now : float
        Monotonic seconds.
    """
    for use in uses:
        service = service_by_name.get(use.service)
        if service is not None:
            service.budget.record_follower(host, use.retries_by_age, now)


def _retry_count(use: RetryUse) -> int:
    return sum(use.retries_by_age)
