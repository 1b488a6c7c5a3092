"""Start-time fair queuing over workspaces."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from math import ceil
from typing import NamedTuple


class Waiting(NamedTuple):
    """One queued request."""

    host: str
    zone: str
    incarnation: int
    request_id: str
    workspace: str
    deadline: float
    excluded: frozenset[str]


class FairQueue:
    """Requests of one service, ordered fairly across workspaces.

    A workspace's start tag advances by the inverse of its weight for each
    request that leaves the queue for a slot. A workspace that was idle starts
    at the current virtual time, so it neither saves up credit nor waits
    behind another's backlog.
    """

    def __init__(self) -> None:
        self._virtual_time: float = 0
        self._weight_by_workspace: Mapping[str, float] = {}
        self._tag_by_workspace: dict[str, float] = {}
        self._waiting: dict[str, dict[tuple[str, str], Waiting]] = {}
        self._by_id: dict[tuple[str, str], Waiting] = {}

    def set_weights(self, weight_by_workspace: Mapping[str, float]) -> None:
        """Set the weights; a workspace that is not named has weight 1."""
        self._weight_by_workspace = weight_by_workspace

    def __len__(self) -> int:
        return len(self._by_id)

    def get(self, identity: tuple[str, str]) -> Waiting | None:
        """Return the queued request of a host, or None."""
        return self._by_id.get(identity)

    def length(self, workspace: str) -> int:
        """Return how many requests of a workspace wait."""
        return len(self._waiting.get(workspace, ()))

    def push(self, waiting: Waiting) -> None:
        """Append a request to the queue of its workspace."""
        workspace = waiting.workspace
        if workspace not in self._waiting:
            self._waiting[workspace] = {}
            tag = self._tag_by_workspace.get(workspace, 0)
            self._tag_by_workspace[workspace] = max(self._virtual_time, tag)
        identity = (waiting.host, waiting.request_id)
        self._waiting[workspace][identity] = waiting
        self._by_id[identity] = waiting

    def remove(self, identity: tuple[str, str]) -> Waiting | None:
        """Take a request out without charging its workspace."""
        waiting = self._by_id.pop(identity, None)
        if waiting is not None:
            queue = self._waiting[waiting.workspace]
            queue.pop(identity)
            if not queue:
                self._waiting.pop(waiting.workspace)
        return waiting

    def serve(self, waiting: Waiting) -> None:
        """Take out a request that receives a slot and charge it."""
        tag = self._tag_by_workspace[waiting.workspace]
        self._virtual_time = max(self._virtual_time, tag)
        step = 1 / self._weight(waiting.workspace)
        self._tag_by_workspace[waiting.workspace] = tag + step
        self.remove((waiting.host, waiting.request_id))
        if not self._by_id:
            self._forget_idle()

    def in_order(self) -> Iterator[Waiting]:
        """Yield the requests; workspaces by start tag, oldest first."""
        tags = self._tag_by_workspace
        for workspace in sorted(self._waiting, key=tags.__getitem__):
            yield from tuple(self._waiting[workspace].values())

    def ahead(self, workspace: str) -> int:
        """Return how many requests would be served before a new one."""
        own = self.length(workspace)
        rounds = (own + 1) / self._weight(workspace)
        others = sum(
            min(len(queue), ceil(rounds * self._weight(name)))
            for name, queue in self._waiting.items()
            if name != workspace
        )
        return own + others

    def drain(self) -> list[Waiting]:
        """Take out all requests."""
        drained = list(self._by_id.values())
        self._by_id.clear()
        self._waiting.clear()
        return drained

    def _weight(self, workspace: str) -> float:
        return self._weight_by_workspace.get(workspace, 1)

    def _forget_idle(self) -> None:
        current = self._virtual_time
        self._tag_by_workspace = {
            workspace: tag
            for workspace, tag in self._tag_by_workspace.items()
            if tag > current
        }
