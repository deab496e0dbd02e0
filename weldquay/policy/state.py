"""What the decisions of one dispatcher hold, before any of them is made."""

from __future__ import annotations

import math
import random

from weldquay.discovery.backoff import Backoff
from weldquay.discovery.list_lease import EndlessLease, ListLease
from weldquay.fleet.slow_start import SlowStartPolicy
from weldquay.interface import Action, Settings
from weldquay.estimators.idle_timeout import IdleTimeoutEstimator
from weldquay.estimators.report_interval import ReportIntervalEstimator
from weldquay.estimators.runtime import RuntimeEstimator
from weldquay.state.records import Attempt, Job, Worker
from weldquay.reservations.scheduler import BackfillScheduler

FIRST_SLOTS = 2.0  # room of a worker that has not reported yet: enough to begin with, too little to jam it
RATE_TIME_NS = 5_000_000_000  # memory of arrival rates and slowness: long against a burst's rise


class State:
    """The tables; the layers above it add what is done with them."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.scheduler = BackfillScheduler(
            settings.reservations, settings.dispatcher_count, settings.workers_queue_in_order
        )
        self.now_ns = self.started_ns = 0
        self.slow_start_policy, self.warming_count = self._cold_rule(settings), 0  # how many workers are cold
        self.workers: dict[int, Worker] = {}
        self.jobs: dict[int, Job] = {}
        self.queued: dict[int, Job] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.deadlines: list[tuple[int, int]] = []  # heap of (when the answer is due, request)
        self.actions: list[Action] = []
        self.ready_workers: list[
            Worker
        ] = []  # listed ready; those among them that this dispatcher turns to first
        self.subset: list[Worker] = []
        self.endpoints_changed = False  # the list or a ban has changed since ready and home were made
        self.banned_workers: set[int] = set()  # by operators
        self.reinstated: set[int] = set()  # put back by them, and not used since
        self.recently_reported: dict[int, Worker] = {}  # that told something lately, in the order of that
        self.last_health_check_ns, self.next_wakeup_ns = (
            0,
            -1,
        )  # awake_ns: when the next look at time alone is due; -1: never
        self.mean_zone_load: dict[int, float] = {}  # by zone: mean of the loads told lately
        self.mean_slots, self.probe_budget = FIRST_SLOTS, 0.0  # probes that the traffic so far has paid for
        self.runtimes = RuntimeEstimator(rules.latency_objective_ns for rules in settings.classes)
        self.rejected_since: dict[
            tuple[object, ...], int
        ] = {}  # births of jobs without a result, oldest first
        self.idle_timeout = IdleTimeoutEstimator(settings.connection_idle_timeout_ns)
        self.send_rate, self.send_rate_updated_ns = 0.0, 0  # pushes a nanosecond, decayed
        self.report_interval = ReportIntervalEstimator()  # how often workers refresh their reports
        self.next_poll_ns, self.shutdown_ns = (
            -1,
            math.inf,
        )  # when to subscribe (-1: not); when this dispatcher ends
        self.backoff = Backoff(self.random, settings.dispatcher_count, settings.has_local_discovery_agent)
        self.lease = (
            ListLease(settings.has_local_discovery_agent)
            if settings.endpoint_list_expires
            else EndlessLease()
        )

    @staticmethod
    def _cold_rule(told: Settings) -> SlowStartPolicy:
        return SlowStartPolicy(
            told.initial_capacity_fraction,
            told.slow_start_ns,
            told.overload_multiple,
            told.overload_window_ns,
        )

    def _rate(self) -> float:
        return self.send_rate * math.exp((self.send_rate_updated_ns - self.now_ns) / RATE_TIME_NS)
