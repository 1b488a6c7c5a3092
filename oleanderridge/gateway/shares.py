"""Distributes the requests of a route over its services by weight."""

from __future__ import annotations

from random import Random

from oleanderridge.gateway.model import RouteRule


class ShareCounter:
    """Smooth weighted round robin; each host begins at a random place.

    Parameters
    ----------
    rng : Random
        Spreads the beginnings over the hosts.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._credit_by_route: dict[str, dict[str, float]] = {}

    def next_service(self, route: RouteRule) -> str:
        """Return the service of a route's next request.

        Parameters
        ----------
        route : RouteRule
            Weights may change from one configuration to the next.

        Returns
        -------
        str
            Name of the service.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        total = sum(share.weight for share in route.shares)
        balance = self._credit_by_route.get(route.name)
        names = {share.service for share in route.shares}
        if balance is None or balance.keys() != names:
            balance = {
                share.service: self._rng.random() * total
                for share in route.shares
            }
            self._credit_by_route[route.name] = balance
        for share in route.shares:
            balance[share.service] += share.weight
        chosen = max(balance, key=lambda name: balance[name])
        balance[chosen] -= total
        return chosen
