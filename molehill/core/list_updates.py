"""Applies to the core what discovery tells, and how the requests to it fared.

That is the list of hosts, the addresses that refused a connection, and the lease without which no
call is begun. No input or output; times are nanoseconds of the relay's clock.
"""

from dataclasses import replace
from typing import Any, Callable, Optional

from molehill import interface
from molehill.config import MS
from molehill.core import events as ev
from molehill.core import recovery
from molehill.core.list_lease import ListLease, ListOutcome
from molehill.core.permission import Refusal


class ListUpdates:
    """The part of a `Core` (molehill/core/reducer.py) that follows discovery.

    `lease`: on the list; `expired_at`: since when calls wait for the list, None if they do not.
    """

    def __init__(self, core):
        self.core, self.lease = core, ListLease()
        self.logged_lease = self.lease.as_restored()
        self.expired_at: Optional[int] = None
        self.handlers: dict[type, Callable[[Any], None]] = {
            ev.HostListReceived: self.on_list_received,
            ev.ConnectionRefused: self._on_connection_refused,
            ev.HostListConfirmed: self._on_host_list_confirmed,
            ev.ListRequestSent: self._on_list_request_sent,
            ev.ListRequestEnded: self._on_list_request_ended,
            ev.DiscoveryMoved: self._on_discovery_moved,
        }

    def on_list_received(self, event: ev.HostListReceived) -> None:
        """Applies a list, or a failure to get one, and passes it to the decision module."""
        core = self.core
        if event.scope is not interface.ListScope.FAILED:
            self._apply_list(event)
        busy = {call.host for call in (*core.calls.values(), *core.queued_calls.values())}
        core.hosts.drop_expired(busy, core.now)
        if event.scope is not interface.ListScope.RESTORED and core.list_deadline is not None:
            core.list_deadline = None
            core.start_ready_calls()
        entries = [self._module_entry(host) for host in event.hosts]
        core.inbox.append(interface.HostListUpdate(event.scope, entries))

    def _apply_list(self, event: ev.HostListReceived) -> None:
        core, is_complete = self.core, event.scope is not interface.ListScope.UPDATE
        event.hosts += [
            replace(core.hosts[name], condition=interface.Condition.DRAINING)
            for name in event.unreadable
            if name in core.hosts and core.hosts[name].condition is interface.Condition.UP
        ]
        changed = core.received_list.update(
            event.hosts, is_complete, event.version, event.source, event.file_digest
        )
        # logged before it takes effect: the next process knows only the log
        if changed is not None:
            core.log_record("list", **core.received_list.as_record(changed))
        hosts_with_stale_connections = core.hosts.apply_list(event.hosts, is_complete)
        core.effects += [ev.CloseIdle(host) for host in hosts_with_stale_connections]

    def _module_entry(self, host: ev.Host) -> interface.HostEntry:
        return interface.HostEntry(
            host.id,
            host.zone,
            host.kind,
            host.destination,
            host.condition,
            host.weight,
            self.core.hosts.is_ejected(host.id, self.core.now),
        )

    def _on_connection_refused(self, event: ev.ConnectionRefused) -> None:
        """Allows no new connection to this address until discovery has answered.

        Logged, as the next process would connect to whoever listens there by then.
        """
        effects, addresses = self.core.effects, self.core.hosts.refused_addresses
        if event.address in addresses:
            effects.append(ev.ConfirmHostList())
            return
        addresses.add(event.address)
        effects.append(ev.Append(recovery.refused_record(addresses)))
        effects.append(ev.ConfirmHostList(event.address))

    def _on_host_list_confirmed(self, _: ev.HostListConfirmed) -> None:
        if self.core.hosts.refused_addresses:
            self.core.hosts.refused_addresses.clear()
            self.core.effects.append(ev.Append(recovery.refused_record(())))

    def _on_list_request_sent(self, event: ev.ListRequestSent) -> None:
        self.lease.request_sent(self.core.now, event.hold)

    def _on_list_request_ended(self, event: ev.ListRequestEnded) -> None:
        lease = self.lease
        was_suspended = lease.is_suspended()
        if event.outcome is ListOutcome.ANSWERED:
            lease.answered(self.core.now)
        else:
            lease.request_ended(self.core.now, event.outcome, event.began_at, event.held_for)
        self.log_lease()
        if lease.is_suspended() and not was_suspended:
            text = f"the list of hosts is used without a limit: discovery, {event.outcome.value}"
            self.core.effects.append(ev.LogMessage(text))
        self._resume_after_expiry()

    def _on_discovery_moved(self, _: ev.DiscoveryMoved) -> None:
        self.lease.discovery_moved(self.core.now)

    def has_expired(self, now: int) -> bool:
        """Returns whether no call may be begun at `now`, as the lease has run out."""
        return self.lease.has_expired(now, self.core.settings.drain_grace)

    def note_expiry(self) -> None:
        """Logs, once, that calls wait for the list."""
        if self.expired_at is None:
            self.expired_at = self.core.now
            text = "no call before discovery answers: the list of hosts is outdated"
            self.core.effects.append(ev.LogMessage(text))

    def _resume_after_expiry(self) -> None:
        """Starts the calls that waited for the list, if they may start again."""
        if self.expired_at is None or self.has_expired(self.core.now):
            return
        span, self.expired_at = self.core.now - self.expired_at, None
        self.core.effects.append(ev.LogMessage(f"calls begin again, after {span // MS} ms"))
        self.core.start_ready_calls()

    def queue_refusal(self) -> Refusal:
        """Returns why a queued call has not been started in time."""
        return Refusal.KEY_BLOCKED if self.expired_at is None else Refusal.LIST_OUTDATED

    def log_lease(self) -> None:
        """Logs what the next process has to know of the lease, if that has changed."""
        state = self.lease.as_restored()
        if state != self.logged_lease:
            self.logged_lease = state
            self.core.effects.append(ev.Append(recovery.lease_record(*state)))

    def restore_lease(self, current_at: Optional[int], missed_at: Optional[int]) -> None:
        """Sets the lease from what the log says of the list; a later record overrides this one."""
        self.lease.restore(current_at, missed_at)
        self.logged_lease = self.lease.as_restored()
