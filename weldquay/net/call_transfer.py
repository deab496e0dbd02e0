"""How a call goes from one process of a dispatcher to the next: the part of the exchange that hands over.

The older process ends the call without an answer, and returns what the newer one needs to go on with it.
"""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from typing import Any

from weldquay import interface as api
from weldquay.policy.dispatcher import Dispatcher
from weldquay.net.calls import Answer, Attempt, Call, WorkerSide
from weldquay.net.config import Config
from weldquay.net.counters import Counters
from weldquay.net.messages import Figures


class CallTransfer(ABC):
    """The base of `Exchange` that passes calls on and adopts them; `Exchange` has the tables of calls."""

    config: Config
    counters: Counters
    workers: WorkerSide
    dispatcher: Dispatcher
    worker_names: dict[int, str]

    @abstractmethod
    def _tell(self, event: api.Event) -> None: ...

    @abstractmethod
    def _number(self, worker_id: str) -> int: ...

    @abstractmethod
    def _enter(
        self,
        figures: Figures,
        job_class: int,
        payload: object,
        opened_ns: int,
        deadline_ns: int,
        on_answer: Callable[[Answer], None],
    ) -> Call: ...

    @abstractmethod
    def _request(self, call: Call, left_ns: int) -> api.Request: ...

    @abstractmethod
    def _close(self, call: Call) -> None: ...

    @abstractmethod
    def _register(self, attempt: Attempt) -> None: ...

    @abstractmethod
    def _remove(self, attempt: Attempt) -> None: ...

    def remember(self) -> dict[str, Any]:
        """What the decisions know of each worker, by its id."""
        return {self.worker_names[number]: told for number, told in self.dispatcher.remember().items()}

    def recall(self, worker_id: str, told: Mapping[str, Any]) -> None:
        """Take in what an earlier process knew of a worker."""
        self._tell(api.Recalled(self._number(worker_id), told))

    def may_pass(self, call: Call) -> bool:
        """True where a later process can go on with the call: nothing of it is half done here.

        That process knows today's rules, and of an attempt that has ended only that it has.
        """
        settings = self.config.settings
        return call.open and (
            call.rules == settings.classes[call.job_class]
            and call.most == settings.max_attempts
            and (call.safe or not call.ran)
            and not self.workers.is_telling(call)
        )

    def pass_on(self, call: Call) -> dict[str, Any]:
        """End a call here without an answer: a later process goes on with what this tells."""
        attempts = [
            [each.number, each.worker_id, each.sent_ns, each.deadline_ns, each.begun_ns]
            for each in call.live.values()
        ]
        told = {
            "class": self.config.class_names[call.job_class],
            "opened_ns": call.opened_ns,
            "deadline_ns": call.deadline_ns,
            "sends": call.sends,
            "attempts": attempts,
        }
        for attempt in list(call.live.values()):
            self._remove(attempt)
            self._tell(
                api.AttemptEnded(call.number, attempt.number, attempt.worker, api.Outcome.CANCELLED, 0, True)
            )
        self._close(call)
        self._tell(api.ClientGone(call.number))
        return told

    def adopt(
        self, told: Mapping[str, Any], figures: Figures, payload: object, on_answer: Callable[[Answer], None]
    ) -> Call:
        """Go on with a call as an earlier process told of it."""
        self.counters.add("calls_adopted")
        call = self._enter(
            figures,
            self.config.class_names.index(told["class"]),
            payload,
            told["opened_ns"],
            told["deadline_ns"],
            on_answer,
        )
        call.sends, now_ns = told["sends"], time.monotonic_ns()
        worker = sent_ns = begun_ns = 0
        for number, worker_id, sent_ns, deadline_ns, begun_ns in told["attempts"]:
            worker = self._number(worker_id)
            attempt = Attempt(call, number, worker, worker_id, sent_ns, deadline_ns, 0, None, begun_ns, True)
            self._register(attempt)
        self._tell(
            api.Adopted(
                self._request(call, call.deadline_ns - now_ns),
                call.opened_ns,
                call.sends,
                worker,
                sent_ns,
                begun_ns,
            )
        )
        return call
