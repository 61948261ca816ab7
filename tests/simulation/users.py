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
        self._request(self._submit_request(body), self._on_accepted, body["nameId"])

    def cancel(self, job: str) -> None:
        self.checker.cancel_requested(job)
        self._request(lambda node: node.admission.cancel(job), self._on_status, job)

    def _request(self, ask: Callable[[Controller], Any], told: Callable[[str, Any], None], job: str) -> None:
        self.checker.request_sent(job)
        name = self.random.choice(self.names)
        node = self.nodes[name]
        again = self.clock.callLater(1.5, self._request, ask, told, job)
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

        self.run_in_process(name, lambda: defer.ensureDeferred(ask(node)).addCallbacks(answer, lambda _: None))

    def _on_accepted(self, job: str, _result: tuple[bool, dict[str, Any]]) -> None:
        self.poll_densely(job)
        self._poll(job)

    def _poll(self, job: str) -> None:
        if not self.checker.is_final(job):
            self.clock.callLater(3.0, self._poll, job)
        self._request(self._status_request(job), self._on_status, job)

    def _on_status(self, job: str, answer: dict[str, Any] | None) -> None:
        if answer is not None and answer["phase"] in ("done", "aborted"):
            self.poll_densely(job)

    def poll_densely(self, job: str) -> None:
        """Asks all nodes within milliseconds, again and again, repeats the submission, and cancels now and then."""
        if self.now >= self.dense_polling_until:
            return
        for number in range(12):
            name = self.names[number % 3]
            ask = self._submit_request(self.jobs[job]) if number % 4 == 3 else self._status_request(job)
            self.clock.callLater(self.random.uniform(0.0, 0.05), self._request_once, name, ask, job)
        if self.random.random() < 0.2 and not self.checker.is_final(job):
            self.clock.callLater(self.random.uniform(0.0, 0.05), self.cancel, job)

    def _request_once(self, name: str, ask: Callable[[Controller], Any], job: str) -> None:
        node, number, asked_at = self.nodes[name], self.processes[name], self.now
        if node is None:
            return

        def answer(result: Any) -> None:
            if self.processes[name] == number:
                self.checker.observe_status(job, result[1] if isinstance(result, tuple) else result, asked_at)

        self.run_in_process(name, lambda: defer.ensureDeferred(ask(node)).addCallbacks(answer, lambda _: None))

    @staticmethod
    def _status_request(job: str) -> Callable[[Controller], Any]:
        return lambda node: node.admission.status(job)

    def _submit_request(self, body: dict[str, Any]) -> Callable[[Controller], Any]:
        return lambda node: node.admission.submit(self.versions[node.settings.member].messages.parse_job(body))
