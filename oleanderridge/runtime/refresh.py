"""Hands changed lists, bundles and services to the decision modules."""

from __future__ import annotations

from oleanderridge.generated.bundle import BundleDocument
from oleanderridge.runtime.node import Node


def refresh_decisions(node: Node) -> None:
    """Hand over the current state after a change.

    Parameters
    ----------
    node : Node
        The host.
    """
    accepted = node.store.accepted
    if accepted is None:
        return
    now = node.clock()
    refresh_shares(node)
    leaving = node.membership.targets_leaving()
    services = list(node.services_by_name.values())
    outgoing = node.broker.configure(
        services,
        leaving,
        now,
        node.weight_by_workspace,
    )
    node.send_all(outgoing)
    node.fallback.configure(services, leaving, now)


def refresh_shares(node: Node) -> None:
    """Give the buckets the lists and bundles that may be in force.

    Parameters
    ----------
    node : Node
        The host; called after each change and at each tick, since lists and
        versions settle as time passes.
    """
    if node.store.accepted is None:
        return
    now = node.clock()
    node.buckets.note_lease(now, node.lease_until())
    versions = node.membership.unsettled_versions(now)
    node.store.forget_previous(versions)
    node.buckets.update(
        node.membership.unsettled_lists(now),
        _documents(node, versions),
        now,
    )


def _documents(node: Node, versions: tuple[int, ...]) -> list[BundleDocument]:
    accepted = node.store.accepted
    documents = [
        bundle.document
        for version, bundle in sorted(node.store.previous.items())
        if version in versions and version != accepted.version
    ]
    documents.append(accepted.document)
    return documents
