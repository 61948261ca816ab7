"""Users: they submit until accepted, poll until the end, cancel, and look closely."""

from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from stileloft.controller.controller import Controller


class Users:
    """The part of the world that asks the controllers."""

    def job(self, number: int, **changes: Any) -> dict[str, Any]:
        body = {
            "nameId": f"j-{number:06d}",
            "lane": "batch",
            "crew": "core",
            "shape": "array",
            "urgency": "standard",
            "pieces": 3,
            "vcpus": 4.0,
            "accelerators": 0.0,
            "memGb": 4.0,
            "bundle": "img",
            "imageGb": 1.0,
            "builds": None,
            "yard": None,
            "together": False,
            "spread": False,
            "loaner": True,
            "guessS": 10.0,
            "snapshotS": 0.0,
            "stashS": 0.0,
            "dueS": None,
        }
        return body | changes

    def submit(self, body: dict[str, Any]) -> None:
        """A user who submits until accepted, then polls until the end."""
        self.jobs[body["nameId"]] = body
        self.checker.submitted_at[body["nameId"]] = self.now
        self._ask(self._submission(body), self._accepted, body["nameId"])

    def cancel(self, job: str) -> None:
        self.checker.cancel_requested(job)
        self._ask(lambda node: node.admission.cancel(job), self._told, job)

    def _ask(self, ask: Callable[[Controller], Any], told: Callable[[str, Any], None], job: str) -> None:
        self.checker.request_sent(job)
        name = self.random.choice(self.names)
        node = self.nodes[name]
        again = self.clock.callLater(1.5, self._ask, ask, told, job)
        if node is None:
            return
        number = self.processes[name]
        asked_at = self.now

        def answer(result: Any) -> None:
            if self.processes[name] != number:
                return
            # An answer counts for what it says also if its user has asked again meanwhile.
            self.checker.observe_status(job, result[1] if isinstance(result, tuple) else result, asked_at)
            if again.active():
                again.cancel()
                self.checker.request_answered(job)
                told(job, result)

        self.awake(name, lambda: defer.ensureDeferred(ask(node)).addCallbacks(answer, lambda _: None))

    def _accepted(self, job: str, _result: tuple[bool, dict[str, Any]]) -> None:
        self.look_closely(job)
        self._poll(job)

    def _poll(self, job: str) -> None:
        if not self.checker.is_final(job):
            self.clock.callLater(3.0, self._poll, job)
        self._ask(self._question(job), self._told, job)

    def _told(self, job: str, answer: dict[str, Any] | None) -> None:
        if answer is not None and answer["phase"] in ("done", "aborted"):
            self.look_closely(job)

    def look_closely(self, job: str) -> None:
        """Asks all nodes within milliseconds, again and again, repeats the submission, and cancels now and then."""
        if self.now >= self.dense_polling_until:
            return
        for number in range(12):
            name = self.names[number % 3]
            ask = self._submission(self.jobs[job]) if number % 4 == 3 else self._question(job)
            self.clock.callLater(self.random.uniform(0.0, 0.05), self._look, name, ask, job)
        if self.random.random() < 0.2 and not self.checker.is_final(job):
            self.clock.callLater(self.random.uniform(0.0, 0.05), self.cancel, job)

    def _look(self, name: str, ask: Callable[[Controller], Any], job: str) -> None:
        node, number, asked_at = self.nodes[name], self.processes[name], self.now
        if node is None:
            return

        def answer(result: Any) -> None:
            if self.processes[name] == number:
                self.checker.observe_status(job, result[1] if isinstance(result, tuple) else result, asked_at)

        self.awake(name, lambda: defer.ensureDeferred(ask(node)).addCallbacks(answer, lambda _: None))

    @staticmethod
    def _question(job: str) -> Callable[[Controller], Any]:
        return lambda node: node.admission.status(job)

    def _submission(self, body: dict[str, Any]) -> Callable[[Controller], Any]:
        return lambda node: node.admission.submit(self.versions[node.settings.member].messages.parse_job(body))
