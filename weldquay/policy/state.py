"""What the decisions of one dispatcher hold, before any of them is made."""

from __future__ import annotations

import math
import random

from weldquay.discovery.backoff import Backoff
from weldquay.discovery.list_lease import EndlessLease, ListLease
from weldquay.fleet.slow_start import Rule
from weldquay.interface import Action, Settings
from weldquay.estimators.idle_timeout import IdleLimit
from weldquay.estimators.report_interval import Interval
from weldquay.estimators.runtime import Running
from weldquay.ledger.records import Attempt, Job, Worker
from weldquay.planning.planner import Planner

FIRST_SLOTS = 2.0  # room of a worker that has not reported yet: enough to begin with, too little to jam it
RATE_TIME_NS = 5_000_000_000  # memory of arrival rates and slowness: long against a burst's rise


class State:
    """The tables; the layers above it add what is done with them."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.planner = Planner(settings.room, settings.dispatchers, settings.queue_in_order)
        self.now_ns = self.begun_ns = 0
        self.rule, self.cold = self._cold_rule(settings), 0  # how many workers are cold
        self.workers: dict[int, Worker] = {}
        self.jobs: dict[int, Job] = {}
        self.held: dict[int, Job] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.due: list[tuple[int, int]] = []  # heap of (when the answer is due, request)
        self.out: list[Action] = []
        self.ready: list[Worker] = []  # listed ready; those among them that this dispatcher turns to first
        self.home: list[Worker] = []
        self.unsorted = False  # the list or a ban has changed since ready and home were made
        self.banned: set[int] = set()  # by operators
        self.back: set[int] = set()  # put back by them, and not used since
        self.news: dict[int, Worker] = {}  # that told something lately, in the order of that
        self.judged_ns, self.awake_ns = 0, -1  # awake_ns: when the next look at time alone is due; -1: never
        self.usual_load: dict[int, float] = {}  # by zone: mean of the loads told lately
        self.usual_size, self.probes_left = FIRST_SLOTS, 0.0  # probes that the traffic so far has paid for
        self.running = Running(rules.aim_ns for rules in settings.classes)
        self.turned_away: dict[tuple[object, ...], int] = {}  # births of jobs without a result, oldest first
        self.idle = IdleLimit(settings.conn_idle_ns)
        self.push_rate, self.push_rate_ns = 0.0, 0  # pushes a nanosecond, decayed
        self.interval = Interval()  # how often workers refresh their reports
        self.ask_ns, self.end_ns = -1, math.inf  # when to subscribe (-1: not); when this dispatcher ends
        self.backoff = Backoff(self.random, settings.dispatchers, settings.list_near)
        self.lease = ListLease(settings.list_near) if settings.list_expires else EndlessLease()

    @staticmethod
    def _cold_rule(told: Settings) -> Rule:
        return Rule(told.cold_share, told.warm_after_ns, told.fall_multiple, told.overload_for_ns)

    def _rate(self) -> float:
        return self.push_rate * math.exp((self.push_rate_ns - self.now_ns) / RATE_TIME_NS)
