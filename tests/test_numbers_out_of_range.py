"""Numbers of peers that are too large for floats, sums or conversions: they end no task and fail no step."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest

from example.toy import encode_message, request
from tests.helpers import MS, SECOND, DispatcherDriver, sends
from tests.site import SilentDiscovery, run_scenario, site, until
from weldquay import interface as api
from weldquay.limits import MAX_NAME_LENGTH, MAX_REPORT_VALUE
from weldquay.net import messages
from weldquay.net.messages import MessageError

HUGE = 10**400
MEMBER = {"id": "w0", "host_port": "127.0.0.1:9", "phase": "SERVING"}


@pytest.mark.parametrize("value", [HUGE, 1e300, MAX_REPORT_VALUE * 2, float("inf"), float("nan"), -1, True])
def test_a_load_report_out_of_range_is_ignored(value: Any) -> None:
    """Its callback is handled nonetheless."""
    fields = {"x0": "free_slots", "svc_ms": "svc_ms"}
    assert messages.load_report_from_json({"x0": value, "svc_ms": 1}, fields) is None
    body = {"id": "c1", "from": "w0", "state": "done", "result": "r", "load": {"x0": value, "svc_ms": 1}}
    if value == value:  # JSON has no NaN
        assert messages.parse_callback(json.dumps(body).encode(), fields).result == "r"


def test_a_callback_with_a_huge_number_is_answered() -> None:
    """Before, its connection was closed without an answer, and a traceback logged."""

    async def scenario() -> None:
        async with site() as test_site:
            load = {"svc_ms": HUGE, "pending": 0, "x0": 1, "x1": 1}
            callback = {"id": "c1", "from": "w0", "state": "done", "result": "r", "load": load}
            body = json.dumps(callback).encode()
            response = await request(test_site.address, encode_message("POST /callback HTTP/1.1", body))
            assert response.status == 204

    run_scenario(scenario())


@pytest.mark.parametrize(
    "change",
    [
        {"cell": HUGE},
        {"size": HUGE},
        {"up_since_ms": HUGE},
        {"up_since_ms": 1e308},
        {"host_port": "127.0.0.1:" + "9" * 5000},
        {"locality": HUGE},
        {"locality": {"a": 1}},
        {"flavor": "k" * (MAX_NAME_LENGTH + 1)},
        {"id": "w" * (MAX_NAME_LENGTH + 1)},
    ],
    ids=lambda change: "-".join(change),
)
def test_a_member_out_of_range_is_a_message_error(change: dict[str, Any]) -> None:
    """Any other exception would end the watch for good."""
    with pytest.raises(MessageError):
        messages.endpoint_list_from_json({"revision": 1, "complete": True, "members": [{**MEMBER, **change}]})
    with pytest.raises(MessageError):
        messages.endpoint_list_from_json({"revision": HUGE, "complete": True, "members": []})


def test_discovery_is_polled_again_after_an_unexpected_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """A watch that ended without a failure to report was never opened again."""

    async def scenario() -> None:
        discovery = SilentDiscovery()
        discovery.lists = [b'{"revision":2,"complete":true,"members":[]}'] * 2
        async with site(discovery=discovery) as test_site:
            await until(lambda: len(discovery.polls) >= 2)
            assert test_site.process.counters.counts["discovery_watches_failed"] >= 1

    def fail(_data: bytes) -> None:
        raise OverflowError("int too large to convert to float")

    monkeypatch.setattr("weldquay.net.discovery_client.parse_endpoint_list", fail)
    run_scenario(scenario())


def test_a_huge_reported_load_fails_no_step() -> None:
    """The shares of the water-fill are lost in rounding; a worker is drawn all the same."""
    driver = DispatcherDriver(workers=1)
    for value in (1e17, 1e300):
        driver.step(
            api.ProbeEnded(1, api.Outcome.OK, 1, api.LoadReport(None, None, value, value)), after=SECOND
        )
        driver.step(api.RequestReceived(1, 0, 9 * SECOND))
        driver.report(1, 3.0)
    assert sends(driver.actions)


EXTREMES = [0.0, 1e-300, 1.0, 3.0, MAX_REPORT_VALUE]
TIMES_NS = [0, 1, SECOND, 24 * 3600 * SECOND]


def draw_event(rng: random.Random, request_id: int) -> api.Event:
    """Return an event with extreme values that the network code lets pass."""
    report = api.LoadReport(*(rng.choice([None, *EXTREMES]) for _ in range(6)))
    kind = rng.randrange(4)
    if kind == 0:
        slots, memory = rng.choice([0.0, 1e-9, 1.0, 1e9]), rng.choice([0.0, 1e9])
        hint_ns = rng.choice([None, *TIMES_NS])
        return api.RequestReceived(request_id, 0, rng.choice(TIMES_NS), slots, memory, hint_ns, 0, False)
    if kind == 1:
        outcome = rng.choice(list(api.Outcome))
        return api.ProbeEnded(rng.randint(1, 4), outcome, rng.choice(TIMES_NS), report)
    if kind == 2:
        state, weight = rng.choice(list(api.WorkerState)), rng.choice([-1.0, *EXTREMES, 2.0**53])
        entry = api.WorkerEntry(rng.randint(1, 4), state, rng.choice([0, 2**53]), 0, 0, 2**83, weight)
        return api.EndpointListUpdate(api.EndpointListKind.DELTA, (entry,))
    return api.ClientDisconnected(rng.randint(1, request_id))


@pytest.mark.parametrize("seed", range(20))
def test_extreme_values_fail_no_step(seed: int) -> None:
    """A step that fails loses the events of all clients in it."""
    rng = random.Random(seed)
    driver = DispatcherDriver(workers=4, seed=seed)
    for request_id in range(1, 201):
        actions = driver.step(draw_event(rng, request_id), after=rng.choice([0, MS, SECOND]))
        for send in sends(actions):
            driver.end(send, rng.choice(list(api.Outcome)))
