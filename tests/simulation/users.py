"""Simulated users: they submit until accepted, poll until the end, cancel, and poll densely around state changes."""

from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from stileloft.controller.controller import Controller


class Users:
    """The part of the simulated cluster that sends the users' requests to the controllers."""

    def job(self, number: int, **changes: Any) -> dict[str, Any]:
        """Returns the body of a job, as on the wire; `changes` override its default fields."""
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
        """Submits a job, with retries until it is accepted, then polls it until its end."""
        self.jobs[body["nameId"]] = body
        self.checker.submitted_at[body["nameId"]] = self.now
        self._request(self._submit_request(body), self._on_accepted, body["nameId"])

    def cancel(self, job: str) -> None:
        """Requests the cancellation of a job, with retries until a controller answers."""
        self.checker.cancel_requested(job)
        self._request(lambda node: node.admission.cancel(job), self._on_status, job)

    def _request(self, request: Callable[[Controller], Any], on_answer: Callable[[str, Any], None], job: str) -> None:
        """Sends a request about a job to a random controller, every 1.5 s until one is answered."""
        self.checker.request_sent(job)
        name = self.random.choice(self.names)
        node = self.nodes[name]
        retry = self.clock.callLater(1.5, self._request, request, on_answer, job)
        if node is None:
            return
        number = self.processes[name]
        requested_at = self.now

        def answer(result: Any) -> None:
            if self.processes[name] != number:
                return
            # An answer is checked even if the user has retried since.
            self.checker.observe_status(job, result[1] if isinstance(result, tuple) else result, requested_at)
            if retry.active():
                retry.cancel()
                self.checker.request_answered(job)
                on_answer(job, result)

        self.run_in_process(name, lambda: defer.ensureDeferred(request(node)).addCallbacks(answer, lambda _: None))

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
        """Sends 12 requests about a job to all controllers within 50 ms, and cancels a fifth of the unfinished jobs.

        Three of the requests repeat the submission, the others query the status.
        """
        if self.now >= self.dense_polling_until:
            return
        for number in range(12):
            name = self.names[number % 3]
            request = self._submit_request(self.jobs[job]) if number % 4 == 3 else self._status_request(job)
            self.clock.callLater(self.random.uniform(0.0, 0.05), self._request_once, name, request, job)
        if self.random.random() < 0.2 and not self.checker.is_final(job):
            self.clock.callLater(self.random.uniform(0.0, 0.05), self.cancel, job)

    def _request_once(self, name: str, request: Callable[[Controller], Any], job: str) -> None:
        """Sends a request to one controller, without retries."""
        node, number, requested_at = self.nodes[name], self.processes[name], self.now
        if node is None:
            return

        def answer(result: Any) -> None:
            if self.processes[name] == number:
                self.checker.observe_status(job, result[1] if isinstance(result, tuple) else result, requested_at)

        self.run_in_process(name, lambda: defer.ensureDeferred(request(node)).addCallbacks(answer, lambda _: None))

    @staticmethod
    def _status_request(job: str) -> Callable[[Controller], Any]:
        return lambda node: node.admission.status(job)

    def _submit_request(self, body: dict[str, Any]) -> Callable[[Controller], Any]:
        return lambda node: node.admission.submit(self.versions[node.settings.member].messages.parse_job(body))
