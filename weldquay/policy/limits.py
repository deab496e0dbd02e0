"""Limits that several parts of the decisions share."""

from __future__ import annotations

import math
from typing import Final

from weldquay.candidates.inputs import CandidateLimits

DEFAULT_SLOTS: Final = 2.0  # slots assumed for a worker that has not reported its capacity
FRESH_REPORT_NS: Final = 300_000_000  # maximum age of a load report that needs no probe before it is used
START_REPORT_TIMEOUT_NS: Final = 50_000_000  # an attempt that has not started by then waits in a queue
RUNTIME_TOLERANCE_NS: Final = 250_000_000  # added on both sides where running times are compared
MAX_REPORT_LAG_NS: Final = 250_000_000  # maximum age of a report on arrival: later own sends are added to it
PROBE_WAIT_NS: Final = 30_000_000  # a request waits this long for probe results
PROBE_BACKOFF_NS: Final = 1_000_000_000  # pause between probes of one worker, unless it answers earlier
MAX_BACKOFF_NS: Final = 8_000_000_000  # maximum pause before an ejected or overloaded worker is tried again
MAX_FAILURE_SCORE: Final = 0.3  # above it only requests that may run twice are sent to the worker
MAX_SLOWNESS: Final = math.log(2.5)  # workers this much slower than their kind get no requests
CANDIDATE_LIMITS: Final = CandidateLimits(
    FRESH_REPORT_NS, START_REPORT_TIMEOUT_NS, RUNTIME_TOLERANCE_NS, MAX_SLOWNESS, MAX_FAILURE_SCORE
)
