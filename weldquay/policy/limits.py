"""Limits that several components of the decision logic use."""

from __future__ import annotations

import math
from typing import Final

from weldquay.candidates.inputs import CandidateLimits

DEFAULT_SLOTS: Final = 2.0  # assumed capacity of a worker that has not reported any
FRESH_REPORT_NS: Final = 300_000_000  # a load report of at most this age is used without a new probe
START_REPORT_TIMEOUT_NS: Final = 50_000_000  # an attempt without a start report for this long is queued
RUNTIME_TOLERANCE_NS: Final = 250_000_000  # added to both running times where two are compared
MAX_REPORT_LAG_NS: Final = 250_000_000  # maximum age of a report on arrival; own sends since then are added
PROBE_WAIT_NS: Final = 30_000_000  # how long a request waits for probe results
PROBE_BACKOFF_NS: Final = 1_000_000_000  # delay before a worker is probed again, unless it answers earlier
MAX_BACKOFF_NS: Final = 8_000_000_000  # maximum backoff of an ejected, overloaded or failing worker
MAX_FAILURE_SCORE: Final = 0.3  # a worker above it gets only requests that may run twice
MAX_SLOWNESS: Final = math.log(2.5)  # workers 2.5 times slower than their machine kind get no requests
CANDIDATE_LIMITS: Final = CandidateLimits(
    FRESH_REPORT_NS, START_REPORT_TIMEOUT_NS, RUNTIME_TOLERANCE_NS, MAX_SLOWNESS, MAX_FAILURE_SCORE
)
