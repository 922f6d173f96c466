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
from molehill.http.host_list_format import parse_list
from molehill.http.list_exchange import (
    EXCHANGE_ERRORS,
    ExchangeLimits,
    ListAnswer,
    ListExchange,
    StoppedAnswer,
    UnreadableAnswer,
)
from molehill.http.list_request import (
    MIN_WATCH_HOLD,
    ListRequest,
    ListRequestEnded,
    ListRequestLog,
)
from molehill.http.list_stream import MIN_ANSWER_DURATION, STALL_TIMEOUT, ListStream
from molehill.invariants import check_invariant
from molehill.runtime.stream import (
    ConnectionBroken,
    NoDescriptor,
    PersistentConnection,
    TimedOut,
)

# How long discovery may hold a watch open. A watch that gets no answer is noticed after this and
# ANSWER_TIMEOUT.
WATCH_HOLD = 10 * SECOND
ANSWER_TIMEOUT = 1500 * MS  # after the hold; the rules count news as known 2 s after it
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


MAX_OPEN_REQUESTS = 3  # at once; beyond it the oldest is given up
MAX_UNREADABLE = 1  # answers in a row that can't be read, before discovery is given a rest
MAX_REASON_LENGTH = 40  # characters of an error in the counts
REASONED_OUTCOMES = (ListOutcome.FAILED, ListOutcome.UNREACHABLE, ListOutcome.LOCAL_ERROR)


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
        self.requested_at = self.clock()  # when the last request was sent
        self.confirm_at: Optional[int] = None  # when a confirmation is to be requested
        self.asks_confirmation = False  # a request that is not held is to be sent
        self.must_confirm = False  # the next answer is to be posted as a confirmation
        self.failed_connects = 0  # connections in a row that did not come up in time
        self.counts: Counter[str] = Counter()  # requests by their outcome, since the last log line
        self.request_count = 0
        self.request_log: Optional[ListRequestLog] = None
        self.answered_at = self.clock()  # when discovery answered last, or the process started
        self.answered_stream: Optional[ListStream] = None  # the last one that carried an answer
        self.version: Optional[int] = 0  # to watch from; None: request the whole list
        self.file_digest = digest_file_list(config.known)
        make_stream = partial(
            ListStream, max_body_bytes=max(MIN_LIST_BYTES, config.memory // LIST_MEMORY_DIVISOR)
        )
        self.make_connection = partial(
            PersistentConnection,
            scheduler,
            lambda: config.discovery,
            "discovery",
            budget,
            make_stream,
        )
        self.connection, self.address_changes = self.make_connection(), 0
        # Requests that are open, the latest one last, and the task that waits for an answer.
        self.exchanges: list[ListExchange] = []
        self.task = None
        # since the last answer, requests in a row that got none in time, and unreadable answers
        self.silences = self.unreadable = 0

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
            parsed = parse_list(known, self.config)
            hosts = parsed.hosts
            self.version = parsed.version if version is not None else None
        except ValueError as error:
            check_invariant(False, "list_at_the_start", error=str(error))
        self._post_list(interface.ListScope.RESTORED, hosts, self.version, self.source())

    def _post_list(self, scope, hosts, version, source, unreadable=()) -> None:
        event = ev.HostListReceived(scope, hosts, version, source, self.file_digest, unreadable)
        self.post(event)

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
            self.task = self.scheduler.spawn(self._run_watches)

    def close(self) -> None:
        """Closes all connections to discovery."""
        self.connection.close()
        for exchange in self.exchanges:
            exchange.connection.close()

    def change_address(self) -> None:
        """Requests the whole list from the new address, which may count versions differently."""
        self.address_changes, self.version = self.address_changes + 1, None
        self.post(ev.DiscoveryMoved())
        for exchange in self.exchanges:
            if exchange.has_unread():
                self._report_end(exchange, ListOutcome.DISCARDED)
        self.close()
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
        if self.must_confirm:
            self.asks_confirmation = True
            if self.exchanges:
                self.scheduler.resume(self.task)

    def _run_watches(self) -> None:
        """Runs one watch after another until one fails, which is posted.

        A failure because of a changed address only starts over.
        """
        try:
            address_changes = None
            while address_changes != self.address_changes:
                address_changes = self.address_changes
                try:
                    while True:
                        self._watch_once()
                except EXCHANGE_ERRORS:
                    pass  # it has been counted and reported
        finally:
            self.close()
            self.is_watching = False
            self.post(ev.HostListReceived(interface.ListScope.FAILED))

    def _watch_once(self) -> None:
        began, source, is_first = self.clock(), self.source(), not self.has_answered
        answer = self._request_until_answered()
        version, is_whole, hosts = answer.version, answer.is_whole, answer.hosts
        known_version = self.version
        # A lower version means that discovery has restarted its count: it would withhold its news
        # until its count has caught up with ours, so the whole list is requested.
        self.version = version if is_whole or version >= (known_version or 0) else None
        if is_whole or hosts or answer.unreadable or is_first:
            scope = interface.ListScope.WHOLE if is_whole else interface.ListScope.UPDATE
            self._post_list(scope, hosts, version, source, answer.unreadable)
        is_current = self.version is not None
        outcome = ListOutcome.ANSWERED if is_current else ListOutcome.OUTDATED
        self.post(ev.ListRequestEnded(outcome))
        if self.must_confirm and is_current:
            self.must_confirm = self.asks_confirmation = False
            self.post(ev.HostListConfirmed())
        if version == known_version and self.clock() - began < MIN_WATCH_INTERVAL:
            self.scheduler.sleep_until(began + MIN_WATCH_INTERVAL)

    def _request_until_answered(self) -> ListAnswer:
        """Requests the list, and again as long as discovery is silent; returns the answer.

        Pausing after a silence, as after a failure, would leave the relay without a watch while the
        news it misses counts as known. A request that gets no answer in time stays open beside the
        next one, as a slow discovery would answer nobody otherwise. What an answer held that can't
        be read counts as known, too: the list is requested again, but not more often than
        MAX_UNREADABLE times in a row. Raises an exchange's error if the watch has failed.
        """
        self.silences = self.unreadable = 0
        answer = None
        try:
            self._begin_exchange()
            while answer is None:
                ended = next((row for row in self.exchanges if row.is_over), None)
                if ended is None:
                    self._wait_for_exchanges()
                else:
                    self.exchanges.remove(ended)
                    answer = self._take_up(ended)
            return answer
        finally:
            self._close_exchanges(keeps_unread=answer is not None)

    def _take_up(self, ended: ListExchange) -> Optional[ListAnswer]:
        """Returns the answer of an exchange that is over, or has the list requested once more."""
        if self._is_usable(ended):
            return self._accept_answer(ended)
        ended.connection.close()
        if self._is_superseded(ended):
            self._report_end(ended, ListOutcome.INTERRUPTED)
            return None
        self._handle_failure(ended)
        # the one beside a kept one may wait for other news
        if ended.is_kept or all(exchange.is_late for exchange in self.exchanges):
            self._begin_exchange()
        return None

    def _wait_for_exchanges(self) -> None:
        """Waits until an exchange ends, or it is time for a request beside those that are open."""
        latest, now = self.exchanges[-1], self.clock()
        patience_ends_at = latest.patience_ends_at
        if patience_ends_at is None:  # it has not been sent yet
            self.scheduler.wait()
        elif now >= patience_ends_at and latest.has_begun_answer():
            self.scheduler.sleep_until(now + STALL_TIMEOUT)
        elif now >= patience_ends_at:
            self.silences += 1
            self._report_end(latest, ListOutcome.SILENT)
            self._begin_exchange()
        elif self.asks_confirmation and latest.request.is_held():
            self._begin_exchange()
        else:
            self.scheduler.sleep_until(patience_ends_at)

    def _begin_exchange(self) -> None:
        """Sends a request, beside those that are open.

        Its answer is held until there is news only if the request before was answered: otherwise
        this one may be missed, too.
        """
        timeout = LIST_TIMEOUTS[min(self.silences, len(LIST_TIMEOUTS) - 1)]
        is_held, self.may_hold = self.version is not None and self.may_hold, False
        hold = WATCH_HOLD if is_held else MIN_WATCH_HOLD
        if not is_held:
            self.asks_confirmation = False
        for exchange in self.exchanges:
            exchange.is_late = True
        if len(self.exchanges) >= MAX_OPEN_REQUESTS:
            self._give_up(self.exchanges.pop(0))
        self.request_count += 1
        request = ListRequest(
            self.request_count,
            self.source(),
            self.version,
            0 if self.version is None else hold,
            self.clock(),
        )
        limits = ExchangeLimits(
            self._connect_timeout(),
            WATCH_HOLD + ANSWER_TIMEOUT if is_held else timeout,
            STALL_TIMEOUT << self.silences,
            max(MIN_ANSWER_DURATION, timeout),
        )
        is_free = all(exchange.connection is not self.connection for exchange in self.exchanges)
        connection = self.connection if is_free else self.make_connection()
        exchange = ListExchange(self.config, connection, request, limits, self._on_change)
        self.exchanges.append(exchange)
        self.scheduler.spawn(exchange.run)

    def _on_change(self, exchange: ListExchange) -> None:
        if exchange.request.sent_at is not None:
            self.failed_connects = 0
        if not exchange.is_over:
            self.requested_at = self.clock()
            hold = exchange.request.hold if exchange.request.is_held() else 0
            self.post(ev.ListRequestSent(hold))
            if self.request_log is not None:
                self.request_log.sent(exchange.request)
        self.scheduler.resume(self.task)

    def _is_usable(self, ended: ListExchange) -> bool:
        """Returns whether an exchange has an answer that nothing has outdated.

        On a connection that has carried an answer before, an older list may be a late copy.
        """
        answer = ended.answer
        if answer is None or self._has_moved(ended) or self._is_superseded(ended):
            return False
        if ended.stream is not self.answered_stream:
            return True
        return answer.is_whole if self.version is None else answer.version >= self.version

    def _is_superseded(self, ended: ListExchange) -> bool:
        """Returns whether its answer is no newer than one that came to a request after it."""
        answer, version = ended.answer, self.version
        if not ended.is_kept or answer is None or version is None or self._has_moved(ended):
            return False
        return answer.version <= version

    def _has_moved(self, exchange: ListExchange) -> bool:
        return exchange.request.source != self.source()

    def _accept_answer(self, ended: ListExchange) -> ListAnswer:
        """Keeps the connection of a usable answer, which it returns."""
        answer = ended.answer
        assert answer is not None
        self.connection, self.answered_stream = ended.connection, ended.stream
        if not answer.keep_alive:
            self.connection.close()
        self.has_answered = self.may_hold = True
        self.answered_at = self.clock()
        self._report_end(ended, ListOutcome.ANSWERED)
        return answer

    def _handle_failure(self, ended: ListExchange) -> None:
        """Counts and reports a failed exchange; raises its error if the watch has failed."""
        error, reason = ended.error, str(ended.error)[:MAX_REASON_LENGTH]
        if self._has_moved(ended):
            if not ended.is_reported:
                self._report_end(ended, ListOutcome.INTERRUPTED)
            raise ConnectionBroken("moved")
        if error is None:
            self.version = None
            self._report_end(ended, ListOutcome.OUTDATED)
        elif isinstance(error, StoppedAnswer):
            self.silences += 1
            self._report_end(ended, ListOutcome.STOPPED)
        elif isinstance(error, UnreadableAnswer):
            self.unreadable += 1
            self._report_end(ended, ListOutcome.UNREADABLE, reason)
            if self.unreadable > MAX_UNREADABLE:
                raise error
        elif isinstance(error, TimedOut):
            self.failed_connects += 1
            is_late = ended.limits.connect < self.config.connect_time_out
            outcome = ListOutcome.CONNECTING_LATE if is_late else ListOutcome.NOT_CONNECTED
            self._report_end(ended, outcome)
        else:
            outcome = self._outcome_of_error(ended, error)
            if not all(exchange.is_late for exchange in self.exchanges):
                self._log_end(ended, outcome, reason)
                return
            self._report_end(ended, outcome, reason)
            raise error

    def _outcome_of_error(self, ended: ListExchange, error: Exception) -> ListOutcome:
        if isinstance(error, NoDescriptor):
            return ListOutcome.LOCAL_ERROR
        was_sent = ended.request.sent_at is not None
        return ListOutcome.FAILED if was_sent else ListOutcome.UNREACHABLE

    def _close_exchanges(self, keeps_unread: bool) -> None:
        """Gives the open requests up, as one was answered or the watch has failed.

        What discovery has written counts as known: with `keeps_unread`, an answer that has begun to
        come is read on beside the next request.
        """
        exchanges, self.exchanges = self.exchanges, []
        for exchange in exchanges:
            if keeps_unread and exchange.has_unread():
                exchange.is_late = exchange.is_kept = True
                self.exchanges.append(exchange)
            else:
                self._give_up(exchange)

    def _give_up(self, exchange: ListExchange) -> None:
        is_discarded = exchange.has_unread()
        exchange.close()
        if is_discarded:
            self._report_end(exchange, ListOutcome.DISCARDED)
        elif not exchange.is_reported:
            self._report_end(exchange, ListOutcome.INTERRUPTED)

    def _report_end(self, exchange: ListExchange, outcome: ListOutcome, reason: str = "") -> None:
        """Counts, posts and logs how an exchange ended; `reason`: in words."""
        stream = exchange.stream
        began_at = stream.began_at if stream and outcome is ListOutcome.STOPPED else None
        if outcome is not ListOutcome.ANSWERED:  # an answer is applied first
            has_failed = outcome is ListOutcome.FAILED
            held_for = exchange.request.held_for(self.clock()) if has_failed else 0
            self.post(ev.ListRequestEnded(outcome, began_at, held_for))
        self._log_end(exchange, outcome, reason)

    def _log_end(self, exchange: ListExchange, outcome: ListOutcome, reason: str = "") -> None:
        """Counts and logs how an exchange ended."""
        exchange.is_reported = True
        name = outcome.value
        has_reason = outcome in REASONED_OUTCOMES
        self.counts[f"{name}: {reason}" if has_reason else name] += 1
        if self.request_log is not None:
            answer = exchange.answer
            version, hosts = (answer.version, answer.hosts) if answer else (None, [])
            self.request_log.ended(
                ListRequestEnded(exchange.request, outcome, self.clock(), reason, version, hosts)
            )

    def _connect_timeout(self) -> int:
        """Returns the nanoseconds that the next connection gets to come up."""
        timeout = FIRST_CONNECT_TIMEOUT << min(self.failed_connects, 8)
        return min(timeout, self.config.connect_time_out)
