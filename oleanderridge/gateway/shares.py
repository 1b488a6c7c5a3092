"""Distributes the requests of a route over its services by weight."""

from __future__ import annotations

from random import Random

from oleanderridge.gateway.model import RouteRule


class ShareCounter:
    """Smooth weighted round-robin with a random initial state on each host.

    Parameters
    ----------
    rng : Random
        Randomizes the initial state, so that hosts do not move in step.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._credits_by_route: dict[str, dict[str, float]] = {}

    def next_service(self, route: RouteRule) -> str:
        """Return the service for the next request of a route.

        Parameters
        ----------
        route : RouteRule
            Its weights may change between configurations.

        Returns
        -------
        str
            Service name.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        total = sum(share.weight for share in route.shares)
        credit_by_service = self._credits_by_route.get(route.name)
        services = {share.service for share in route.shares}
        if credit_by_service is None or credit_by_service.keys() != services:
            credit_by_service = {
                share.service: self._rng.random() * total
                for share in route.shares
            }
            self._credits_by_route[route.name] = credit_by_service
        for share in route.shares:
            credit_by_service[share.service] += share.weight
        chosen = max(
            credit_by_service, key=lambda name: credit_by_service[name]
        )
        credit_by_service[chosen] -= total
        return chosen
