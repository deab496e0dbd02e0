"""The decision logic of a dispatcher: which worker gets a request, when, and what follows its outcome.

Read `weldquay/interface` first: `Dispatcher.step` takes its events and returns its actions. The package does
no I/O and reads no clock. Workers are chosen by OPT, Theorem 4 of "Optimal decentralized querying strategies
for cooperative multi-agent systems" (`water_fill.py`).

A request is processed in these stages:

1. `open_requests.py` accepts it into the queue and sets its deadline.
2. `request_queue.py` places the queued requests at the end of each step, highest priority first
   (`priorities.py`, with the running times of `runtime_model.py`).
3. `weldquay/candidates` lists the workers that reported recently and have free slots. `eligibility.py`
   excludes those that the request cannot use. `load.py` estimates loads: own sends since the last report
   minus the free slots of that report.
4. If too few candidates have a fresh report, `probing.py` probes a few workers, and the request waits.
5. `placement.py` computes a share for each candidate by the water-fill, from loads and expected arrivals, and
   draws a worker at random by these shares. `sending.py` sends the attempt.
6. A request that no worker can take stays queued. If it needs several slots, `capacity_reservation.py`
   reserves capacity at a worker.
7. `outcomes.py` handles the outcome by a table. It releases the attempt's slots, updates estimates and the
   worker's health, and answers the request or queues it again within the rules of `retries.py`.
8. `open_requests.py` gives the final answer if no worker gave one, at the latest at the deadline.

Worker state: `endpoint_list.py` follows discovery and bans, `load_reports.py` and `probe_results.py` apply
what workers report, `outlier_ejection.py` and `periodic_check.py` exclude workers that fail or do not
respond, and `slow_start.py` limits what is sent to workers that have just started.

Each component is a class. `assembly.py` builds the components, and `dispatcher.py` routes events to them.
Their shared state of a step is in `step_context.py`, the common tables are in `worker_table.py` and
`request_table.py`, and the limits that several components use are in `limits.py`. A module imports only
modules that are listed before it in `policy` in `deploy/balancer.toml`.
"""
