"""Requests that wait for the next tokens of their workspaces."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator

from oleanderridge.admission.quota import QuotaTake
from oleanderridge.dispatch.waiting_line import PendingRequest


class TokenLine:
    """First-come lines of requests, one for each workspace."""

    def __init__(self) -> None:
        self._by_workspace: dict[str, deque[PendingRequest]] = {}

    def __contains__(self, permit: int) -> bool:
        """Return whether a request waits."""
        return any(
            entry.request.permit == permit
            for line in self._by_workspace.values()
            for entry in line
        )

    def length(self, workspace: str) -> int:
        """Return how many requests of a workspace wait."""
        return len(self._by_workspace.get(workspace, ()))

    def add(self, entry: PendingRequest) -> None:
        """Add a request at the end of the line of its workspace."""
        workspace = entry.request.workspace
        self._by_workspace.setdefault(workspace, deque()).append(entry)

    def remove(self, permit: int) -> None:
        """Remove a request that may wait."""
        for line in self._by_workspace.values():
            for entry in tuple(line):
                if entry.request.permit == permit:
                    line.remove(entry)

    def pop_ready(
        self, take: Callable[[str], QuotaTake], late_before: float
    ) -> Iterator[tuple[PendingRequest, QuotaTake]]:
        """Remove the requests that get a token, and those that wait too long.

        Parameters
        ----------
        take : callable
            Takes a token of a workspace.
        late_before : float
            Requests that arrived by then get a token now or never.

        Yields
        ------
        tuple of PendingRequest and QuotaTake
            In the order of arrival in each workspace.
        """
        for workspace, line in tuple(self._by_workspace.items()):
            while line:
                token = take(workspace)
                if not token.taken and line[0].arrived > late_before:
                    break
                yield line.popleft(), token
            if not line:
                del self._by_workspace[workspace]
