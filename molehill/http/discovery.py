"""Discovery: the host list that is known at the start, and the watch that keeps it current.

A watch is a long poll for changes since the list's version. Each list, update or failure is handed
to `post` as an `ev.HostListReceived`.
"""

from collections import Counter
from functools import partial
from typing import Optional

from molehill import interface
from molehill.config import MS, SECOND
from molehill.core import events as ev
from molehill.core.host_list import digest_file_list, restore_host_list
from molehill.core.list_lease import ListOutcome
from molehill.http import parser as http
from molehill.http.host_list_format import parse_list
from molehill.http.list_request import (
    ListRequest,
    ListRequestEnded,
    ListRequestLog,
)
from molehill.http.list_stream import MIN_ANSWER_DURATION, STALL_TIMEOUT, ListStream
from molehill.invariants import check_invariant
from molehill.runtime.stream import ConnectionBroken, PersistentConnection, TimedOut

# How long discovery may hold a watch open. A watch that gets no answer is noticed after this and
# ANSWER_TIMEOUT.
WATCH_HOLD = 10 * SECOND
ANSWER_TIMEOUT = 1500 * MS  # after the hold; the rules count news as known 2 s after it
# Of a watch that asks for present changes only, as discovery has not answered the request before.
MIN_WATCH_HOLD = MS
# A request that is not held: its contents count as known 6 s after discovery fell silent, and 4 s
# after SIGHUP. The timeout grows with each silence, in case discovery is that slow.
LIST_TIMEOUTS = (2500 * MS, 3500 * MS, 5 * SECOND, 10 * SECOND, 20 * SECOND)
# A connection that has not come up by then is made anew: its first packet may be lost. The next ones
# get twice as long each, up to the settings' time.
FIRST_CONNECT_TIMEOUT = 750 * MS
# between requests for a confirmation, as all relays may meet the same host that is gone
MIN_CONFIRM_INTERVAL = 2 * SECOND
# after an answer that came at once and without news: half of the interval that would end a watch
MIN_WATCH_INTERVAL = 100 * MS
# The list is the only body that grows with the number of hosts. With the limit of other bodies, a
# list of some hundreds of hosts would never be read, and the relay would call the hosts that it
# knew at its start. An entry takes about 160 bytes, or 300 if indented, so the minimum holds at
# least 3,500 hosts. Above that, the limit is a thirty-second of the memory, since the list is held
# as bytes, as text and as entries at once.
MIN_LIST_BYTES, LIST_MEMORY_DIVISOR = 1 << 20, 32


MAX_UNREADABLE = 1  # answers in a row that can't be read, before discovery is given a rest
MAX_REASON_LENGTH = 40  # characters of an error in the counts


class ResponseTimeout(TimedOut):
    """Discovery accepted a request, but did not answer it or not completely in time."""

    def __init__(self, outcome: ListOutcome):
        super().__init__(outcome.value)
        self.outcome = outcome


class UnreadableAnswer(Exception):
    """An answer that has begun, and then broke off or is no list; the text is the reason."""


# that end a watch; a ValueError for a status that refuses the request
WATCH_ERRORS = (ConnectionBroken, http.MalformedMessage, UnreadableAnswer, ValueError)


class OutdatedAnswer(Exception):
    """An answer that another one on its connection has outdated: perhaps a late copy."""


class Discovery:
    """Follows discovery's host list and reports it to `post`."""

    def __init__(self, scheduler, config, budget, post, logged_list=None):
        """`logged_list`: the host list from the log, as in molehill/core/host_list.py."""
        self.scheduler, self.config, self.post, self.logged_list = (
            scheduler,
            config,
            post,
            logged_list,
        )
        self.clock, self.is_watching = scheduler.clock, False
        self.has_answered = False  # discovery has answered this process, or one that handed over
        self.may_hold = False  # the request before this one was answered
        self.is_held = False  # discovery holds the present request until there is news
        self.requested_at = self.clock()  # when the last request was sent
        self.confirm_at: Optional[int] = None  # when a confirmation is to be requested
        self.confirmations = 0  # requested so far
        self.must_confirm = False  # the next answer is to be posted as a confirmation
        self.failed_connects = 0  # connections in a row that did not come up in time
        self.counts: Counter[str] = Counter()  # requests by their outcome, since the last log line
        self.request_count = 0
        self.request: Optional[ListRequest] = None  # that has not ended
        self.answer_began_at: Optional[int] = None  # of an answer that stopped in the middle
        self.request_log: Optional[ListRequestLog] = None
        self.answered_at = self.clock()  # when discovery answered last, or the process started
        self.answered_stream: Optional[ListStream] = None  # the last one that carried an answer
        self.version: Optional[int] = 0  # to watch from; None: request the whole list
        self.file_digest = digest_file_list(config.known)
        make_stream = partial(
            ListStream, max_body_bytes=max(MIN_LIST_BYTES, config.memory // LIST_MEMORY_DIVISOR)
        )
        self.connection, self.address_changes = (
            PersistentConnection(
                scheduler, lambda: config.discovery, "discovery", budget, make_stream
            ),
            0,
        )

    def restore_list(self, known=None) -> None:
        """Posts the host list as this relay last had it.

        That is `known` if the process before it has handed over a list, else the one from the log
        and the file. An invalid list is replaced by an empty one, as the relay has to start
        nevertheless.
        """
        hosts: list[ev.Host] = []
        version: Optional[int] = 0
        self.has_answered = known is not None
        try:
            if known is None:
                entries, version = restore_host_list(
                    self.logged_list, self.config.known, self.source(), self.file_digest
                )
                known = {"endpoints": entries, "index": version or 0}
            listed_version, _, hosts = parse_list(known, self.config)
            self.version = listed_version if version is not None else None
        except ValueError as error:
            check_invariant(False, "list_at_the_start", error=str(error))
        self._post_list(interface.ListScope.RESTORED, hosts, self.version, self.source())

    def _post_list(self, scope, hosts, version, source) -> None:
        self.post(ev.HostListReceived(scope, hosts, version, source, self.file_digest))

    def file_was_read(self, known) -> None:
        """Notes that the configuration file has been read again; `known` is its list."""
        self.config.known, self.file_digest = known, digest_file_list(known)

    def source(self) -> str:
        """Returns discovery's address as text; versions are only comparable for one source."""
        return "%s:%d" % self.config.discovery

    def start_watch(self) -> None:
        """Starts to watch, unless a watch is running."""
        if not self.is_watching:
            self.is_watching = True
            self.scheduler.spawn(self._run_watches)

    def change_address(self) -> None:
        """Requests the whole list from the new address, which may count versions differently."""
        self.address_changes, self.version = self.address_changes + 1, None
        self.post(ev.DiscoveryMoved())
        self.connection.close()
        self.start_watch()

    def confirm_list(self) -> None:
        """Has the next answer posted, and requests it soon if discovery holds a request.

        Requests for a confirmation are at least MIN_CONFIRM_INTERVAL apart.
        """
        self.must_confirm = True
        if self.confirm_at is None:
            self.confirm_at = max(self.clock(), self.requested_at + MIN_CONFIRM_INTERVAL)
            self.scheduler.call_at(self.confirm_at, self._request_confirmation)

    def _request_confirmation(self) -> None:
        self.confirm_at = None
        if self.is_held and self.must_confirm:
            self.confirmations, self.may_hold = self.confirmations + 1, False
            self.connection.close()

    def _run_watches(self) -> None:
        """Runs one watch after another until one fails, which is posted.

        A failure because of a changed address, or of a held request that was given up for one that
        is answered at once, only starts over.
        """
        try:
            interruptions = None
            while interruptions != (self.address_changes, self.confirmations):
                interruptions = self.address_changes, self.confirmations
                try:
                    while True:
                        self._watch_once()
                except WATCH_ERRORS as error:
                    self.connection.close()
                    is_unreadable = isinstance(error, UnreadableAnswer)
                    outcome = ListOutcome.UNREADABLE if is_unreadable else ListOutcome.FAILED
                    if interruptions != (self.address_changes, self.confirmations):
                        outcome = ListOutcome.INTERRUPTED
                    self._end_request(outcome, str(error)[:MAX_REASON_LENGTH])
        finally:
            self.connection.close()
            self.is_watching = False
            self.post(ev.HostListReceived(interface.ListScope.FAILED))

    def _watch_once(self) -> None:
        began, source, is_first = self.clock(), self.source(), not self.has_answered
        version, is_whole, hosts = self._request_until_answered()
        known_version = self.version
        # A lower version means that discovery has restarted its count: it would withhold its news
        # until its count has caught up with ours, so the whole list is requested.
        self.version = version if is_whole or version >= (known_version or 0) else None
        if is_whole or hosts or is_first:
            scope = interface.ListScope.WHOLE if is_whole else interface.ListScope.UPDATE
            self._post_list(scope, hosts, version, source)
        self.post(ev.ListRequestEnded(ListOutcome.ANSWERED))
        if self.must_confirm:
            self.must_confirm = False
            self.post(ev.HostListConfirmed())
        if version == known_version and self.clock() - began < MIN_WATCH_INTERVAL:
            self.scheduler.sleep_until(began + MIN_WATCH_INTERVAL)

    def _request_until_answered(self):
        """Requests the list again, at once, as long as discovery is silent; returns the answer.

        Pausing after a silence, as after a failure, would leave the relay without a watch while the
        news it misses counts as known. Each request waits its whole timeout, so this puts no load
        on discovery. What an answer held that can't be read counts as known, too: the list is
        requested again, but not more often than MAX_UNREADABLE times in a row.
        """
        silences = 0  # requests in a row that got no answer, or not all of one
        unreadable = 0  # requests whose answer could not be read
        while True:
            try:
                return self._request_list(silences)
            except OutdatedAnswer:
                self.version = None
                self._end_request(ListOutcome.OUTDATED)
            except UnreadableAnswer as error:
                unreadable += 1
                if unreadable > MAX_UNREADABLE:
                    raise
                self._end_request(ListOutcome.UNREADABLE, str(error)[:MAX_REASON_LENGTH])
            except ResponseTimeout as error:
                silences += 1
                self._end_request(error.outcome)
            except TimedOut:  # the connection never came up
                self.failed_connects += 1
                self._end_request(ListOutcome.NOT_CONNECTED)
            self.connection.close()

    def _begin_request(self, hold: int) -> ListRequest:
        self.request_count += 1
        self.request = ListRequest(
            self.request_count, self.source(), self.version, hold, self.clock()
        )
        return self.request

    def _end_request(self, outcome: ListOutcome, reason="", version=None, hosts=()) -> None:
        """Counts and reports the end of the present request; `reason`: in words."""
        began_at = self.answer_began_at if outcome is ListOutcome.STOPPED else None
        if outcome is not ListOutcome.ANSWERED:  # an answer is applied first
            self.post(ev.ListRequestEnded(outcome, began_at))
        name = outcome.value
        self.counts[f"{name}: {reason}" if outcome is ListOutcome.FAILED else name] += 1
        request, self.request = self.request, None
        if request is not None and self.request_log is not None:
            self.request_log.ended(
                ListRequestEnded(request, outcome, self.clock(), reason, version, list(hosts))
            )

    def _connect_timeout(self) -> int:
        """Returns the nanoseconds that the next connection gets to come up."""
        timeout = FIRST_CONNECT_TIMEOUT << min(self.failed_connects, 8)
        return min(timeout, self.config.connect_time_out)

    def _request_list(self, silences: int):
        """Returns version, whether it is the whole list, and hosts; `silences`: requests before.

        An answer is held until there is news only if the request before was answered: otherwise
        this one may be missed, too.
        """
        timeout = LIST_TIMEOUTS[min(silences, len(LIST_TIMEOUTS) - 1)]
        holds_answer, self.may_hold = self.version is not None and self.may_hold, False
        hold = WATCH_HOLD if holds_answer else MIN_WATCH_HOLD
        request = self._begin_request(0 if self.version is None else hold)
        stream = self.connection.get_stream(self.clock() + self._connect_timeout())
        self.failed_connects = 0
        until = self.clock() + (WATCH_HOLD + ANSWER_TIMEOUT if holds_answer else timeout)
        is_used = stream is self.answered_stream
        target = "/registry/instances"  # the whole list, at once
        if self.version is not None:
            target += f"?from={self.version}&hold_ms={hold // MS}"
        stream.expect_answer(STALL_TIMEOUT << silences, max(MIN_ANSWER_DURATION, timeout))
        stream.send(http.build_request("GET", target, "%s:%d" % self.config.discovery), until)
        self.is_held, self.requested_at = holds_answer, self.clock()
        request.sent_at = self.requested_at
        self.post(ev.ListRequestSent(WATCH_HOLD if holds_answer else 0))
        if self.request_log is not None:
            self.request_log.sent(request)
        try:
            head = stream.read_response_head(until)
            body = stream.read_body(head, until)
        except TimedOut as error:
            self.answer_began_at = stream.began_at
            has_begun = stream.began_at is not None
            outcome = ListOutcome.STOPPED if has_begun else ListOutcome.SILENT
            raise ResponseTimeout(outcome) from error
        except (ConnectionBroken, http.MalformedMessage) as error:
            if stream.began_at is None:
                raise
            raise UnreadableAnswer(str(error)) from error
        finally:
            self.is_held = False
        if head.status != 200:
            raise ValueError(f"status {head.status}")
        try:
            version, is_whole, hosts = parse_list(body, self.config)
        except ValueError as error:
            raise UnreadableAnswer(str(error)) from error
        if is_used and (version < self.version if self.version is not None else not is_whole):
            raise OutdatedAnswer()
        self.answered_stream = stream
        if not head.keep_alive:
            self.connection.close()
        self.has_answered = self.may_hold = True
        self.answered_at = self.clock()
        self._end_request(ListOutcome.ANSWERED, version=version, hosts=hosts)
        return version, is_whole, hosts
