"""The decisions of a dispatcher: which worker gets a request, when, and what follows its outcome.

Read `weldquay/interface` first: `Dispatcher.step` takes its events and returns its actions. The package does
no I/O and reads no clock. The placement is OPT, Theorem 4 of "Optimal decentralized querying strategies for
cooperative multi-agent systems" (`water_fill.py`).

The way of a request:

1. `open_requests.py` accepts it into the queue and sets the deadline of its answer.
2. `request_queue.py` places the queued requests at the end of each step, highest priority first
   (`priorities.py`, with the running times of `runtime_model.py`).
3. `weldquay/candidates` lists the workers that reported recently and have free slots. `eligibility.py`
   excludes those that the request cannot use. Loads are estimated by `load.py`: own sends since the last
   report minus the free slots of that report.
4. Where too few of them have a fresh report, `probing.py` probes a few workers, and the request waits.
5. `placement.py` converts loads and expected arrivals to shares by the water-fill and draws a worker.
   `sending.py` sends the attempt.
6. A request that no worker can take stays queued. For one of several slots `capacity_reservation.py` reserves
   capacity at a worker.
7. `outcomes.py` holds the table of outcomes. It releases the attempt's slots, learns from the outcome, and
   answers the request or queues it again within the rules of `retries.py`.
8. `open_requests.py` gives the final answer where no worker gave one, at the latest at the deadline.

The state of workers: `endpoint_list.py` follows discovery and bans, `load_reports.py` and `probe_results.py`
apply what workers report, `outlier_ejection.py` and `periodic_check.py` exclude workers that fail or are
silent, and `slow_start.py` limits what is sent to workers that have just started.

Every part is an object of its own. `assembly.py` builds the parts, and `dispatcher.py` routes events to them.
What a step shares is in `step_context.py`, the common tables are in `worker_table.py` and `request_table.py`,
and limits that several parts share are in `limits.py`. A module imports only modules that stand before it in
the `policy` list of `deploy/balancer.toml`.
"""
