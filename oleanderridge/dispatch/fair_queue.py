"""Start-time fair queuing over workspaces."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from math import ceil
from typing import NamedTuple


class QueuedRequest(NamedTuple):
    """A request that waits for a slot."""

    host: str
    zone: str
    incarnation: int
    request_id: str
    workspace: str
    deadline: float
    excluded: frozenset[str]


class FairQueue:
    """Requests of one service, ordered fairly across workspaces.

    Each request that receives a slot advances the start tag of its workspace
    by the inverse of the workspace's weight. A workspace that was idle starts
    at the current virtual time, so it neither accumulates credit nor waits
    behind the backlog of another workspace.
    """

    def __init__(self) -> None:
        self._virtual_time: float = 0
        self._weight_by_workspace: Mapping[str, float] = {}
        self._start_tag_by_workspace: dict[str, float] = {}
        self._queue_by_workspace: dict[
            str, dict[tuple[str, str], QueuedRequest]
        ] = {}
        self._request_by_key: dict[tuple[str, str], QueuedRequest] = {}

    def set_weights(self, weight_by_workspace: Mapping[str, float]) -> None:
        """Set the weights; the default weight is 1."""
        self._weight_by_workspace = weight_by_workspace

    def __len__(self) -> int:
        return len(self._request_by_key)

    def get(self, request_key: tuple[str, str]) -> QueuedRequest | None:
        """Return the queued request of a host, or None."""
        return self._request_by_key.get(request_key)

    def length(self, workspace: str) -> int:
        """Return the number of queued requests of a workspace."""
        return len(self._queue_by_workspace.get(workspace, ()))

    def push(self, request: QueuedRequest) -> None:
        """Append a request to the queue of its workspace."""
        workspace = request.workspace
        if workspace not in self._queue_by_workspace:
            self._queue_by_workspace[workspace] = {}
            start_tag = self._start_tag_by_workspace.get(workspace, 0)
            self._start_tag_by_workspace[workspace] = max(
                self._virtual_time, start_tag
            )
        request_key = (request.host, request.request_id)
        self._queue_by_workspace[workspace][request_key] = request
        self._request_by_key[request_key] = request

    def remove(self, request_key: tuple[str, str]) -> QueuedRequest | None:
        """Remove a request without charging its workspace."""
        request = self._request_by_key.pop(request_key, None)
        if request is not None:
            queue = self._queue_by_workspace[request.workspace]
            queue.pop(request_key)
            if not queue:
                self._queue_by_workspace.pop(request.workspace)
        return request

    def serve(self, request: QueuedRequest) -> None:
        """Remove a request that receives a slot and charge its workspace."""
        start_tag = self._start_tag_by_workspace[request.workspace]
        self._virtual_time = max(self._virtual_time, start_tag)
        increment = 1 / self._weight(request.workspace)
        self._start_tag_by_workspace[request.workspace] = start_tag + increment
        self.remove((request.host, request.request_id))
        if not self._request_by_key:
            self._drop_idle_tags()

    def in_order(self) -> Iterator[QueuedRequest]:
        """Yield requests by start tag of the workspace, oldest first."""
        start_tags = self._start_tag_by_workspace
        for workspace in sorted(
            self._queue_by_workspace, key=start_tags.__getitem__
        ):
            yield from tuple(self._queue_by_workspace[workspace].values())

    def count_ahead(self, workspace: str) -> int:
        """Return how many requests would be served before a new one."""
        own = self.length(workspace)
        rounds = (own + 1) / self._weight(workspace)
        others = sum(
            min(len(queue), ceil(rounds * self._weight(name)))
            for name, queue in self._queue_by_workspace.items()
            if name != workspace
        )
        return own + others

    def drain(self) -> list[QueuedRequest]:
        """Remove and return all requests."""
        drained = list(self._request_by_key.values())
        self._request_by_key.clear()
        self._queue_by_workspace.clear()
        return drained

    def _weight(self, workspace: str) -> float:
        return self._weight_by_workspace.get(workspace, 1)

    def _drop_idle_tags(self) -> None:
        current = self._virtual_time
        self._start_tag_by_workspace = {
            workspace: start_tag
            for workspace, start_tag in self._start_tag_by_workspace.items()
            if start_tag > current
        }
