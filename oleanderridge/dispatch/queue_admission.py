"""Decides which requests wait for a slot, and when refused ones may return."""

from __future__ import annotations

from typing import Final

from oleanderridge.dispatch.selection import can_be_placed
from oleanderridge.dispatch.service_state import ServiceState
from oleanderridge.dispatch.waiting_line import PendingRequest

# A request is on time if this quantile of the latency meets its latency
# target.
_ON_TIME_LATENCY_QUANTILE: Final = 0.7
# A request that would wait for more than this fraction of its remaining
# latency target counts as late, so that those ahead of it meet theirs.
_MAX_WAIT_FRACTION: Final = 0.6
_MIN_RETRY_AFTER_S: Final = 0.05


def late_at(
    entry: PendingRequest, service: ServiceState, now: float
) -> float | None:
    """Return when a queued request becomes late, or None to refuse it.

    Requests that can meet their latency target overtake late ones, so the
    number of late requests in the queue is limited to the number that runs at
    a time. Further late requests, those that are unlikely to get a slot before
    their deadline and those that no target can serve are refused immediately.

    Parameters
    ----------
    entry : PendingRequest
        The request, not in the queue yet.
    service : ServiceState
        Its service.
    now : float
        Monotonic seconds.

    Returns
    -------
    float or None
        Monotonic seconds.
    """
    if not can_be_placed(entry.request, service, now):
        return None
    request = entry.request
    throughput = service.throughput(now)
    wait_s = service.queue.count_ahead(request.priority) / throughput
    if now + wait_s > entry.start_by():
        return None
    on_time_s = service.latencies_of(request.route).quantile(
        _ON_TIME_LATENCY_QUANTILE
    )
    becomes_late_at = entry.late_at(on_time_s)
    if wait_s <= _MAX_WAIT_FRACTION * (becomes_late_at - now):
        return becomes_late_at
    running = throughput * service.mean_latency_s
    if service.queue.count_late(now) >= running:
        return None
    return None if service.queue.is_hopeless(entry, now) else now


def retry_after_ms(service: ServiceState, now: float) -> int:
    """Return after how many milliseconds a refused request may return.

    Parameters
    ----------
    service : ServiceState
        The service of the request.
    now : float
        Monotonic seconds.

    Returns
    -------
    int
        The time that the queue and one request take.
    """
    queue_s = len(service.queue) / service.throughput(now)
    wait_s = max(_MIN_RETRY_AFTER_S, service.mean_latency_s + queue_s)
    return int(wait_s * 1000)
