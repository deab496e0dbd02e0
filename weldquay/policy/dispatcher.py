"""The dispatcher: events in, actions out; and what time alone brings."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from dataclasses import astuple
from typing import Any

from weldquay.candidates.held import Order
from weldquay.candidates.index import Index
from weldquay.interface import (
    Action,
    Adopted,
    AttemptEnded,
    AttemptNote,
    Banned,
    ClientGone,
    Ending,
    Event,
    HoldEnded,
    Membership,
    ProbeEnded,
    Recalled,
    Request,
    Retuned,
    SetTimer,
    Settings,
    StreamBegun,
    Watch,
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
        self.order = Order(self, self._dearness)
        self.index = Index(self, LIMITS, self._load, self._drag, self._takes_ns)
        self.takes: dict[type, Callable[[Any], object]] = {
            Request: self._take,
            AttemptEnded: self._end_attempt,
            AttemptNote: self._note,
            Ending: self._end,
            ProbeEnded: self._end_probe,
            Membership: self._follow,
            Retuned: self._retune,
            Banned: self._ban,
            Recalled: self._restore,
            Adopted: self._adopt,
            StreamBegun: self._begin_stream,
            ClientGone: lambda event: self._close(event.request),
        }

    def step(self, now_ns: int, events: list[Event]) -> list[Action]:
        """Take in events that came at now_ns and return what to do about them."""
        first, self.now_ns, self.out = not self.begun_ns, now_ns, []
        self.begun_ns = self.begun_ns or now_ns
        for event in events:
            self.index.touched[getattr(event, "worker", 0)] = None
            if (take := self.takes.get(type(event))) is not None:
                take(event)
        if self.unsorted:  # once for all changes of a step
            self._sort()
        if first and self.settings.asks_list:
            self._ask_in(self.backoff.initial_delay_ns(now_ns) if self.ready else 0)
        self._tidy(any(not isinstance(event, AttemptNote) for event in events))
        return self.out

    def _retune(self, event: Retuned) -> None:
        """Take in other settings; jobs keep the rules that they came with."""
        told = self.settings = event.settings
        self.planner.retune(self.now_ns, told.room, told.dispatchers, told.queue_in_order)
        self.running.know((each.aim_ns for each in told.classes), (each.offered for each in told.classes))
        self.rule = self._cold_rule(told)
        self.backoff.dispatchers = told.dispatchers
        self.backoff.near = self.lease.is_local_agent = told.list_near

    def _tidy(self, stirred: bool) -> None:
        """What time alone brings; stirred says that there was more than notes."""
        now = self.now_ns
        if self.held and not self.lease.granted and not self.backoff.failures and self.ask_ns > now:
            self.ask_ns = now  # no request waits for the spread of the first asks
        if self.settings.asks_list and 0 <= self.ask_ns <= now:
            self.ask_ns = -1
            self.out.append(Watch())
        while self.due and self.due[0][0] <= now:
            if (job := self.jobs.get(heapq.heappop(self.due)[1])) is not None and not job.stream:
                self._answer(job)
        if 0 <= self.awake_ns <= now:
            self.awake_ns = -1
            if now - self.judged_ns >= LIVE_WAKE_NS:
                self.judged_ns = now
                for attempt in list(self.attempts.values()):  # what no event tells: workers that stand still
                    if not attempt.worker.suspect and self._silent(attempt.worker):
                        self._suspect(attempt.worker)
        if self.planner.by_job:
            self.planner.tidy(now, lambda number: self._healthy(self.workers[number]))
        if self.held and stirred:
            self._place_held()
        if self.planner.fates:
            self.out += [HoldEnded(*astuple(fate)) for fate in self.planner.told()]
        wake_ns = HELD_WAKE_NS if self.held else LIVE_WAKE_NS
        if (self.held or self.attempts) and not now < self.awake_ns <= now + wake_ns:
            self.awake_ns = now + wake_ns
            self.out.append(SetTimer(wake_ns, 1))

    def _place_held(self) -> None:
        """Place held jobs, dearest first, as far as there is room; give up those that can only be late."""
        now, holds = self.now_ns, self.planner.by_job
        outdated = now >= self.lease.until_ns  # or may be: nothing is sent by the list
        self.index.begin()
        self.cold = len(self.index.cold if now >= self.settings.warm_after_ns else self.ready)
        blocked: dict[tuple[int, float], float] = {}  # least memory of a like job that found no worker
        for job in self.order.ranked():
            need, like = job.request, (job.request.job_class, job.request.slots)
            late = now > job.last_start_ns and job.rules.late_value == 0 and need.request not in holds
            if late or (job.risky is not None and not self._may_repeat(job, job.risky)):
                self._answer(job)
                continue
            if outdated or now < job.wait_ns:
                continue
            skip = job.risky is None and need.memory >= blocked.get(like, math.inf)
            if not skip and self._place(job):
                del self.held[need.request]
            elif self.planner.plans_for(need.slots) and (worker := self._seek(job)) is not None:
                self._push(job, worker)
                del self.held[need.request]
            elif not skip and job.risky is None and now - job.looked_ns >= LOOK_WAIT_NS:
                blocked[like] = need.memory
