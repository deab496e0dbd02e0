"""Placement of the queued requests, in order of priority."""

from __future__ import annotations

import math
from dataclasses import dataclass

from weldquay.candidates.queue_order import QueueOrder
from weldquay.discovery.list_lease import ListLease
from weldquay.policy.capacity_reservation import CapacityReservation
from weldquay.policy.index_refresh import IndexRefresh
from weldquay.policy.limits import PROBE_WAIT_NS
from weldquay.policy.open_requests import OpenRequests
from weldquay.policy.placement import Placement
from weldquay.policy.request_table import RequestTable
from weldquay.policy.retries import RetryRules
from weldquay.policy.sending import AttemptSender
from weldquay.policy.step_context import StepContext
from weldquay.reservations.scheduler import BackfillScheduler


@dataclass(slots=True, eq=False)
class RequestQueue:
    """Places the queued requests.

    Attributes:
        context: the state of the current step.
        requests: provides the queue.
        lease: nothing is sent once the lease on the endpoint list has expired.
        index_refresh: updates the candidate index for the step.
        order: the order of the queue.
        open_requests: gives final answers.
        retries: decides whether a request may be retried.
        placement: selects workers.
        scheduler: the capacity reservations.
        reservation: reserves capacity for large requests.
        sender: sends attempts.
    """

    context: StepContext
    requests: RequestTable
    lease: ListLease
    index_refresh: IndexRefresh
    order: QueueOrder
    open_requests: OpenRequests
    retries: RetryRules
    placement: Placement
    scheduler: BackfillScheduler
    reservation: CapacityReservation
    sender: AttemptSender

    def place_queued(self) -> None:
        """Send the queued requests, highest priority first, while there is capacity.

        Requests that can only be late, or may no longer be retried, get their final answer instead.
        """
        now_ns = self.context.now_ns
        is_list_expired = now_ns >= self.lease.send_deadline_ns
        self.index_refresh.begin_placement()
        # By job class and slots: the least memory of a request that found no worker. Requests of the same
        # class and slots that need at least as much memory are skipped in this step.
        blocked_memory: dict[tuple[int, float], float] = {}
        for job in self.order.ranked():
            request, possibly_executed = job.request, job.possibly_executed
            is_too_late = (
                now_ns > job.latest_start_ns
                and job.class_settings.late_weight == 0
                and request.request_id not in self.scheduler.by_request
            )
            if is_too_late or (
                possibly_executed is not None and not self.retries.may_retry(job, possibly_executed)
            ):
                self.open_requests.give_final_answer(job)
                continue
            if is_list_expired or now_ns < job.retry_not_before_ns:
                continue
            placement_key = (request.job_class, request.slots)
            is_first_attempt = possibly_executed is None
            is_blocked = is_first_attempt and request.memory >= blocked_memory.get(placement_key, math.inf)
            worker = None if is_blocked else self.placement.select_worker(job)
            if worker is None and self.scheduler.handles(request.slots):
                worker = self.reservation.reserve_capacity(job)
            if worker is not None:
                self.sender.send(job, worker)
                del self.requests.queued[request.request_id]
            elif not is_blocked and is_first_attempt and now_ns - job.last_probed_ns >= PROBE_WAIT_NS:
                blocked_memory[placement_key] = request.memory
