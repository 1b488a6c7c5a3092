"""Membership of the cell, and the quorum lease for minting tokens."""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from oleanderridge.generated.messages import (
    Heartbeat,
    HostList,
    ListPush,
)
from oleanderridge.generated.settings import Settings
from oleanderridge.membership.history import ListHistory
from oleanderridge.membership.joining import JoinConditions, may_join
from oleanderridge.membership.members import NO_STAMP, Member, member_from_entry
from oleanderridge.membership.peer_reports import PeerRecord, PeerReport
from oleanderridge.membership.settlement import (
    Transition,
    lease_bound,
    unsettled_transitions,
)
from oleanderridge.membership.weights import (
    holds_majority,
    majority_heard_since,
)


class SyncNeeds(NamedTuple):
    """Which side of a heartbeat has a list or bundle that the other lacks."""

    list_behind: bool
    bundle_behind: bool
    list_ahead: bool


class Membership:
    """Host lists, reports of peers, and the lease of this process."""

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        started: float,
    ) -> None:
        """Start without a list, a bundle or reports."""
        self.watching = False
        self._settings = settings
        self._times = settings['membership']
        self._host = settings['host']
        self._incarnation = incarnation
        self._started = started
        self._bundle = (0, '')
        self._lists = ListHistory(settings['cell'])
        self._version_transitions: list[Transition] = []
        self._records: dict[str, PeerRecord] = {}
        self._joined = False
        self._leaving = False
        self._superseded = False
        self._quorum_until: float | None = None

    # Host lists

    def accept_list(self, host_list: HostList, now: float) -> bool:
        """Adopt a host list with a higher revision.

        Parameters
        ----------
        host_list : HostList
            From the platform or a peer.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether the list was adopted.
        """
        if host_list['revision'] <= self._lists.revision:
            return False
        older_majority_at = self._majority_last_on_list(
            self._lists.revision, now
        )
        self._lists.adopt(host_list, older_majority_at, now)
        self._refresh(now)
        return True

    def on_list_push(self, message: ListPush, now: float) -> None:
        """Adopt the lists that a peer pushes, including its unsettled ones.

        Parameters
        ----------
        message : ListPush
            From any peer, possibly delayed.
        now : float
            Monotonic seconds.
        """
        pushed = sorted(
            (*message['unsettled'], message['newest']),
            key=_revision,
        )
        for host_list in pushed:
            if not self.accept_list(host_list, now):
                self._lists.add_skipped(host_list)
        self._refresh(now)

    def list_push(self) -> ListPush:
        """Return the lists to push to a peer that is behind.

        Returns
        -------
        ListPush
            The current list and the older unsettled ones.

        Raises
        ------
        ValueError
            This host has no list yet.
        """
        if self._lists.current is None:
            raise ValueError('no host list to push')
        return {
            'kind': 'list_push',
            'host': self._host,
            'newest': self._lists.current,
            'unsettled': list(self._lists.older()),
            'released': sorted(self._released()),
        }

    def current_list(self) -> HostList | None:
        """Return the list with the highest revision.

        Returns
        -------
        HostList or None
            None before the first list was received.
        """
        return self._lists.current

    def unsettled_lists(self, now: float) -> tuple[HostList, ...]:
        """Return the lists under which some host may hold a lease.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        tuple of HostList
            Oldest first, the current one last.
        """
        self._settle(now)
        return self._lists.in_force()

    def targets_leaving(self) -> frozenset[str]:
        """Return the targets that receive no new requests.

        Returns
        -------
        frozenset of str
            Target names from the current list.
        """
        if self._lists.current is None:
            return frozenset()
        return frozenset(self._lists.current['targets_leaving'])

    # Bundle versions

    def set_bundle(self, version: int, digest: str, now: float) -> None:
        """Record the bundle version that is in force on this host.

        Parameters
        ----------
        version : int
            Ignored if not higher than the current one.
        digest : str
            Digest of the manifest.
        now : float
            Monotonic seconds.
        """
        older = self._bundle[0]
        if version <= older:
            return
        self._version_transitions.append(
            Transition(
                older=older,
                successor=version,
                has_gap=older == 0 or version != older + 1,
                older_majority_at=self._majority_last_on_version(older, now),
                adopted_at=now,
            )
        )
        self._bundle = (version, digest)
        self._refresh(now)

    def unsettled_versions(self, now: float) -> tuple[int, ...]:
        """Return the versions under which some host may hold a lease.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        tuple of int
            Ascending, the current one last; empty without a bundle.
        """
        self._settle(now)
        older = (
            transition.older
            for transition in self._version_transitions
            if transition.older
        )
        current = (self._bundle[0],) if self._bundle[0] else ()
        return (*older, *current)

    # Heartbeats

    def heartbeat_for(self, peer: str, now: float) -> Heartbeat:
        """Return the heartbeat for one peer.

        Parameters
        ----------
        peer : str
            Host name.
        now : float
            Monotonic seconds; the stamp of the heartbeat.

        Returns
        -------
        Heartbeat
            Must be sent immediately, as it reports the state at ``now``.
        """
        record = self._records.get(peer)
        entry = self._lists.entries.get(self._host)
        leaving_by_list = entry is not None and entry['state'] != 'live'
        self._settle(now)
        return {
            'kind': 'heartbeat',
            'host': self._host,
            'incarnation': self._incarnation,
            'zone': self._settings['zone'],
            'stamp': now,
            'echo': record.stamp if record else NO_STAMP,
            'echo_incarnation': record.incarnation if record else 0,
            'list_revision': self._lists.revision,
            'unsettled_revisions': self._lists.older_revisions,
            'bundle_version': self._bundle[0],
            'bundle_digest': self._bundle[1],
            'uptime_s': now - self._started,
            'joined': self._may_support_leases(now),
            'leaving': self._leaving or leaving_by_list,
            'released': self._leaving,
            'watching': self.watching,
        }

    def on_heartbeat(self, message: Heartbeat, now: float) -> SyncNeeds:
        """Record the report of a peer.

        Parameters
        ----------
        message : Heartbeat
            May arrive late, more than once or out of order.
        now : float
            Monotonic seconds.

        Returns
        -------
        SyncNeeds
            What to pull from or push to the sender.
        """
        if message['host'] == self._host:
            self._check_duplicate_host(message)
            return SyncNeeds(
                list_behind=False, bundle_behind=False, list_ahead=False
            )
        if message['echo_incarnation'] > self._incarnation:
            self._superseded = True
        record = self._record_for(message)
        if record is not None:
            uptime_s = now - self._started
            record.receive(message, uptime_s + self._times['hold_s'])
            if self._echoes_own_stamp(message, now):
                retention_s = self._times['lease_s']
                record.acknowledge(message, now, retention_s)
            self._refresh(now)
        revision = self._lists.revision
        return SyncNeeds(
            list_behind=message['list_revision'] > revision
            or not self._lists.covers_revisions(message['unsettled_revisions']),
            bundle_behind=message['bundle_version'] > self._bundle[0],
            list_ahead=message['list_revision'] < revision,
        )

    # Lease

    def joined(self, now: float) -> bool:
        """Return whether this process may support leases and mint tokens.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Stays true once it has become true.
        """
        if not self._joined:
            self._joined = self._meets_join_conditions(now)
            self._quorum_until = None
        return self._joined

    def lease_until(self, now: float) -> float:
        """Return until when this host may mint tokens.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            Monotonic seconds, after ``now``; 0 without a lease.
        """
        if self._leaving or self._superseded or not self.joined(now):
            return 0
        if self._host not in self._lists.entries:
            return 0
        self._settle(now)
        if self._quorum_until is None:
            quorum_since = self._majority_since(
                self._report_supports_lease, now
            )
            self._quorum_until = quorum_since + self._times['lease_s']
        end = min(
            self._quorum_until,
            now + self._times['lease_s'],
            lease_bound(
                (*self._lists.transitions, *self._version_transitions),
                now,
                self._times['lease_s'],
                self._times['hold_s'],
            ),
        )
        return end if end > now else 0

    def begin_leaving(self, now: float) -> None:
        """Permanently stop minting, and announce that this host is leaving.

        Resolvers then stop listing it.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self._leaving = True
        self._refresh(now)

    # View

    def view(self, now: float) -> tuple[Member, ...]:
        """Return the hosts of the cell in the current list.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        tuple of Member
            Ordered by host name; includes this host if it is listed.
        """
        suspect_s = self._times['suspect_s']
        members = {
            host: member_from_entry(
                entry, self._records.get(host), now - suspect_s
            )
            for host, entry in sorted(self._lists.entries.items())
        }
        own = members.get(self._host)
        if own is not None:
            members[self._host] = own._replace(
                incarnation=self._incarnation,
                stamp=now,
                heard_at=now,
                alive=True,
                leaving=own.leaving or self._leaving,
                watching=self.watching,
            )
        return tuple(members.values())

    def peer_addresses(self) -> dict[str, str]:
        """Return the addresses to which heartbeats are sent.

        Returns
        -------
        dict of str to str
            ``host:port`` by host name, for the hosts of the cell in the
            current list and in older unsettled ones, except this host.
        """
        addresses = self._lists.addresses()
        addresses.pop(self._host, None)
        overrides = self._settings['peer'].get('address_overrides', {})
        return {
            host: overrides.get(host, address)
            for host, address in addresses.items()
        }

    # Reports of peers

    def _check_duplicate_host(self, message: Heartbeat) -> None:
        if message['incarnation'] > self._incarnation:
            self._superseded = True

    def _record_for(self, message: Heartbeat) -> PeerRecord | None:
        incarnation = message['incarnation']
        record = self._records.get(message['host'])
        if record is None or record.incarnation < incarnation:
            record = PeerRecord(incarnation)
            self._records[message['host']] = record
        return record if record.incarnation == incarnation else None

    def _echoes_own_stamp(self, message: Heartbeat, now: float) -> bool:
        if message['echo_incarnation'] != self._incarnation:
            return False
        return self._started <= message['echo'] <= now

    def _same_bundle_or_older(self, report: PeerReport) -> bool:
        version, digest = self._bundle
        if report.bundle_version == version:
            return report.bundle_digest == digest
        return report.bundle_version < version

    def _report_supports_lease(self, report: PeerReport) -> bool:
        return (
            report.joined
            and report.list_revision <= self._lists.revision
            and self._same_bundle_or_older(report)
        )

    def _has_adopted_state(self, report: PeerReport) -> bool:
        return (
            report.list_revision <= self._lists.revision
            and self._lists.covers_revisions(report.unsettled)
            and self._same_bundle_or_older(report)
        )

    def _last_heard_times(self, matches, own_at: float) -> dict[str, float]:
        stamps = {
            host: record.last_matching_at(matches)
            for host, record in self._records.items()
        }
        stamps[self._host] = own_at
        return {host: at for host, at in stamps.items() if at > -inf}

    def _majority_since(self, matches, own_at: float) -> float:
        # Every unsettled list needs its own majority: otherwise two lists with
        # few hosts in common could back different bundle versions.
        stamps = self._last_heard_times(matches, own_at)
        return min(
            (
                majority_heard_since(weights, stamps)
                if self._host not in weights
                or not holds_majority(weights, (self._host,))
                else inf
                for weights in self._lists.weights.values()
            ),
            default=-inf,
        )

    # This host counts until it adopted the successor: later it reports that.
    def _majority_last_on_list(self, older: int, adopted_at: float) -> float:
        return self._majority_since(
            lambda report: report.joined and report.list_revision <= older,
            adopted_at,
        )

    def _majority_last_on_version(self, older: int, adopted_at: float) -> float:
        return self._majority_since(
            lambda report: report.joined and report.bundle_version <= older,
            adopted_at,
        )

    def _released(self) -> set[str]:
        return {
            host
            for host, record in self._records.items()
            if record.latest is not None and record.latest['released']
        }

    # Settlement

    def _refresh(self, now: float) -> None:
        self._quorum_until = None
        for transition in self._lists.transitions:
            if transition.has_gap:
                transition.note_older_majority(
                    self._majority_last_on_list(
                        transition.older, transition.adopted_at
                    )
                )
        for transition in self._version_transitions:
            if transition.has_gap:
                transition.note_older_majority(
                    self._majority_last_on_version(
                        transition.older, transition.adopted_at
                    )
                )
        self._confirm_lists(now)
        self._confirm_versions(now)
        self._settle(now)

    def _confirming_hosts(self, matches, now: float) -> set[str]:
        # Only recent reports count, so that a process that joins later under
        # the name of a confirming host, perhaps on another machine, has heard
        # from another of the confirming hosts.
        oldest = now - self._times['lease_s']
        hosts = {
            host
            for host, record in self._records.items()
            if record.last_matching_at(matches) >= oldest
        }
        if self._may_support_leases(now):
            hosts.add(self._host)
        return hosts

    def _confirm_lists(self, now: float) -> None:
        if not self._lists.transitions:
            return
        current = self._lists.revision
        hosts = self._confirming_hosts(
            lambda report: (
                report.released
                or (
                    report.joined
                    and report.list_revision == current
                    and self._has_adopted_state(report)
                )
            ),
            now,
        )
        if self._leaving:
            hosts.add(self._host)
        for transition in self._lists.transitions:
            confirmed = hosts | self._lists.fenced_after(transition.older)
            if holds_majority(self._lists.weights[transition.older], confirmed):
                transition.confirm(now)

    def _confirm_versions(self, now: float) -> None:
        for transition in self._version_transitions:
            hosts = self._confirming_hosts(
                self._confirms_version(transition), now
            )
            if self._lists.weights and all(
                holds_majority(weights, hosts)
                for weights in self._lists.weights.values()
            ):
                transition.confirm(now)

    def _confirms_version(self, transition: Transition):
        return lambda report: (
            report.joined
            and report.bundle_version >= transition.successor
            and self._has_adopted_state(report)
        )

    def _settle(self, now: float) -> None:
        hold_s = self._times['hold_s']
        if self._lists.transitions and self._lists.settle(now, hold_s):
            self._remove_unlisted_records()
        if self._version_transitions:
            self._version_transitions = unsettled_transitions(
                self._version_transitions, now, hold_s
            )

    def _remove_unlisted_records(self) -> None:
        listed = self._lists.addresses().keys() | self._lists.entries.keys()
        self._records = {
            host: record
            for host, record in self._records.items()
            if host in listed
        }
        self._quorum_until = None

    # Joining

    def _meets_join_conditions(self, now: float) -> bool:
        if self._host not in self._lists.entries:
            return False
        times = self._times
        joining = JoinConditions(
            quorum_groups=(
                self._lists.current_weights.keys(),
                self._lists.unfenced(),
            ),
            host=self._host,
            uptime_s=now - self._started,
            lease_s=times['lease_s'],
            hold_s=times['hold_s'],
            suspect_s=times['suspect_s'],
            fleet_running=any(
                record.established for record in self._records.values()
            ),
        )
        adopted = {
            host: record
            for host, record in self._records.items()
            if record.reports and self._has_adopted_state(record.reports[-1])
        }
        return may_join(joining, adopted, now)

    def _may_support_leases(self, now: float) -> bool:
        if self._leaving or self._superseded or not self.joined(now):
            return False
        return self._is_acknowledged(now)

    def _is_acknowledged(self, now: float) -> bool:
        # A replaced process still hears from peers that do not know its
        # replacement yet; without a majority it must not support their leases.
        oldest = now - self._times['suspect_s']
        heard = {
            host
            for host, record in self._records.items()
            if record.heard_at >= oldest
        }
        heard.add(self._host)
        return holds_majority(self._lists.current_weights, heard)


def _revision(host_list: HostList) -> int:
    return host_list['revision']
