"""Builds the reply that grants a slot."""

from __future__ import annotations

from typing import Final

from oleanderridge.dispatch.selection import SUSPECT_PROBABILITY
from oleanderridge.dispatch.service_state import ServiceState
from oleanderridge.gateway.model import TargetRecord
from oleanderridge.generated.fleet import Acquire, Grant

# An unanswered idempotent request fails over to another target after this
# quantile of the latency.
_FAILOVER_QUANTILE: Final = 0.96
_FAILOVER_QUANTILE_DOUBTFUL: Final = 0.85
_FAILOVER_MARGIN_FACTOR: Final = 1.15
_FAILOVER_MAX_AIM_FRACTION: Final = 0.6


def build_grant(
    request: Acquire,
    service: ServiceState,
    record: TargetRecord,
    probability_bad: float,
) -> Grant:
    """Return the grant of a slot.

    Parameters
    ----------
    request : Acquire
        The request for it.
    service : ServiceState
        Its service.
    record : TargetRecord
        The chosen target.
    probability_bad : float
        Probability that the target is bad.

    Returns
    -------
    Grant
        It states when the request should fail over to another target.
    """
    return Grant(
        request.permit,
        record.target,
        record.address,
        _failover_delay_ms(request, service, probability_bad),
        int(probability_bad * 100),
        record.born_ms,
    )


def _failover_delay_ms(
    request: Acquire, service: ServiceState, probability_bad: float
) -> int:
    """Return after how many milliseconds a request should fail over.

    Parameters
    ----------
    request : Acquire
        The request.
    service : ServiceState
        Its service.
    probability_bad : float
        Probability that the chosen target is bad.

    Returns
    -------
    int
        0 for requests that must not be sent to a second target.
    """
    if request.unsafe or not request.may_repeat:
        return 0
    quantile_share = _FAILOVER_QUANTILE
    if probability_bad > SUSPECT_PROBABILITY:
        quantile_share = _FAILOVER_QUANTILE_DOUBTFUL
    delay_s = (
        service.latencies_of(request.route).quantile(quantile_share)
        * _FAILOVER_MARGIN_FACTOR
    )
    max_s = _FAILOVER_MAX_AIM_FRACTION * request.aim_ms / 1000
    return max(1, int(min(delay_s, max_s) * 1000))
