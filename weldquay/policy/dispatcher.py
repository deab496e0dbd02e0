"""The dispatcher: events in, actions out; and what time alone brings."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from dataclasses import astuple
from typing import Any

from weldquay.candidates.queue_order import QueueOrder
from weldquay.candidates.index import CandidateIndex
from weldquay.interface import (
    Action,
    RequestMigrated,
    AttemptEnded,
    AttemptProgress,
    WorkerBanChanged,
    ClientDisconnected,
    ShutdownStarted,
    Event,
    ReservationEnded,
    EndpointListUpdate,
    ProbeEnded,
    WorkerStateRestored,
    RequestReceived,
    SettingsChanged,
    SetTimer,
    Settings,
    ResponseStarted,
    WatchEndpoints,
)
from weldquay.policy.draw import LIMITS
from weldquay.policy.health import LOOK_WAIT_NS
from weldquay.policy.jobs import Jobs

HELD_WAKE_NS = 100_000_000  # held jobs are tried again this often without news: well under a report interval
LIVE_WAKE_NS = 250_000_000  # attempts out are judged this often: well under the patience for silence


class Dispatcher(Jobs):
    """One dispatcher: feed it events by step, carry out the actions it returns.

    A request of an unknown class raises IndexError; events about other unknown things are ignored."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.order = QueueOrder(self, self._dearness)
        self.index = CandidateIndex(self, LIMITS, self._load, self._drag, self._takes_ns)
        self.takes: dict[type, Callable[[Any], object]] = {
            RequestReceived: self._take,
            AttemptEnded: self._end_attempt,
            AttemptProgress: self._note,
            ShutdownStarted: self._end,
            ProbeEnded: self._end_probe,
            EndpointListUpdate: self._follow,
            SettingsChanged: self._retune,
            WorkerBanChanged: self._ban,
            WorkerStateRestored: self._restore,
            RequestMigrated: self._adopt,
            ResponseStarted: self._begin_stream,
            ClientDisconnected: lambda event: self._close(event.request_id),
        }

    def step(self, now_ns: int, events: list[Event]) -> list[Action]:
        """Take in events that came at now_ns and return what to do about them."""
        first, self.now_ns, self.actions = not self.started_ns, now_ns, []
        self.started_ns = self.started_ns or now_ns
        for event in events:
            self.index.changed[getattr(event, "worker", 0)] = None
            if (take := self.takes.get(type(event))) is not None:
                take(event)
        if self.endpoints_changed:  # once for all changes of a step
            self._sort()
        if first and self.settings.polls_endpoint_list:
            self._ask_in(self.backoff.initial_delay_ns(now_ns) if self.ready_workers else 0)
        self._tidy(any(not isinstance(event, AttemptProgress) for event in events))
        return self.actions

    def _retune(self, event: SettingsChanged) -> None:
        """Take in other settings; jobs keep the rules that they came with."""
        told = self.settings = event.settings
        self.scheduler.reconfigure(
            self.now_ns, told.reservations, told.dispatcher_count, told.workers_queue_in_order
        )
        self.runtimes.configure_classes(
            (each.latency_objective_ns for each in told.classes), (each.is_offered for each in told.classes)
        )
        self.slow_start_policy = self._cold_rule(told)
        self.backoff.dispatcher_count = told.dispatcher_count
        self.backoff.is_local_agent = self.lease.is_local_agent = told.has_local_discovery_agent

    def _tidy(self, stirred: bool) -> None:
        """What time alone brings; stirred says that there was more than notes."""
        now = self.now_ns
        if self.queued and not self.lease.granted and not self.backoff.failures and self.next_poll_ns > now:
            self.next_poll_ns = now  # no request waits for the spread of the first asks
        if self.settings.polls_endpoint_list and 0 <= self.next_poll_ns <= now:
            self.next_poll_ns = -1
            self.actions.append(WatchEndpoints())
        while self.deadlines and self.deadlines[0][0] <= now:
            if (job := self.jobs.get(heapq.heappop(self.deadlines)[1])) is not None and not job.streaming:
                self._answer(job)
        if 0 <= self.next_wakeup_ns <= now:
            self.next_wakeup_ns = -1
            if now - self.last_health_check_ns >= LIVE_WAKE_NS:
                self.last_health_check_ns = now
                for attempt in list(self.attempts.values()):  # what no event tells: workers that stand still
                    if not attempt.worker.is_ejected and self._silent(attempt.worker):
                        self._suspect(attempt.worker)
        if self.scheduler.by_request:
            self.scheduler.expire(now, lambda number: self._healthy(self.workers[number]))
        if self.queued and stirred:
            self._place_held()
        if self.scheduler.results:
            self.actions += [ReservationEnded(*astuple(fate)) for fate in self.scheduler.take_results()]
        wake_ns = HELD_WAKE_NS if self.queued else LIVE_WAKE_NS
        if (self.queued or self.attempts) and not now < self.next_wakeup_ns <= now + wake_ns:
            self.next_wakeup_ns = now + wake_ns
            self.actions.append(SetTimer(wake_ns, 1))

    def _place_held(self) -> None:
        """Place held jobs, dearest first, as far as there is room; give up those that can only be late."""
        now, holds = self.now_ns, self.scheduler.by_request
        outdated = now >= self.lease.until_ns  # or may be: nothing is sent by the list
        self.index.begin_step()
        self.warming_count = len(
            self.index.warming if now >= self.settings.slow_start_ns else self.ready_workers
        )
        blocked: dict[tuple[int, float], float] = {}  # least memory of a like job that found no worker
        for job in self.order.ranked():
            need, like = job.request, (job.request.job_class, job.request.slots)
            late = (
                now > job.latest_start_ns
                and job.class_settings.late_weight == 0
                and need.request_id not in holds
            )
            if late or (
                job.possibly_executed is not None and not self._may_repeat(job, job.possibly_executed)
            ):
                self._answer(job)
                continue
            if outdated or now < job.retry_not_before_ns:
                continue
            skip = job.possibly_executed is None and need.memory >= blocked.get(like, math.inf)
            if not skip and self._place(job):
                del self.queued[need.request_id]
            elif self.scheduler.handles(need.slots) and (worker := self._seek(job)) is not None:
                self._push(job, worker)
                del self.queued[need.request_id]
            elif not skip and job.possibly_executed is None and now - job.last_probed_ns >= LOOK_WAIT_NS:
                blocked[like] = need.memory
