"""Configuration of all tests: known failures, reproducible property tests, and the check of invariants."""

from collections.abc import Iterator

import hypothesis
import pytest

from stileloft.leadership.invariants import Invariant, InvariantMonitor
from tests import known_red

# By default each run draws the same examples, so that its result is reproducible. There is no deadline, as the duration
# of an example depends on the load of the machine. `--hypothesis-profile=random` draws new examples in each run.
hypothesis.settings.register_profile("same", derandomize=True, database=None, deadline=None)
hypothesis.settings.register_profile("random", max_examples=5000, deadline=None)
hypothesis.settings.load_profile("same")


def pytest_collection_modifyitems(session: pytest.Session, items: list[pytest.Item]) -> None:
    """Marks listed tests as strict expected failures: a run in which one passes fails."""
    try:
        listed = known_red.read()
    except known_red.InvalidListError as error:
        raise pytest.UsageError(f"{known_red.LIST.name}: {error}") from None
    whole_files = all("::" not in argument for argument in session.config.args)
    if whole_files and (unknown := known_red.unmatched(listed, [item.nodeid for item in items])):
        raise pytest.UsageError(f"{known_red.LIST.name}: no such test: {unknown[0].test}")
    for item in items:
        for failure in listed:
            if failure.covers(item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=str(failure), strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Prints all known failures, also of tests that were not run."""
    for failure in known_red.read():
        terminalreporter.write_line(f"known to fail: {failure}")


@pytest.fixture(autouse=True)
def no_violations(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[str]]:
    """Fails each test in which an invariant of a controller is violated.

    A test that violates invariants on purpose clears the list.
    """
    found: list[str] = []

    def listen(invariant: Invariant, evidence: str) -> None:
        found.append(f"{invariant.name}: {evidence}")

    monkeypatch.setattr(InvariantMonitor, "listener", staticmethod(listen))
    yield found
    assert found == []
