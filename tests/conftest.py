"""What holds for all tests: the list of known failures, and property tests that draw the same examples at each run."""

from collections.abc import Iterator

import hypothesis
import pytest

from stileloft.leadership.invariants import Invariant, InvariantMonitor
from tests import known_red

# By default each run draws the same examples, so that its verdict is the same each time; how long an example takes
# depends on what else the machine does, and says nothing. `--hypothesis-profile=random` draws others each time.
hypothesis.settings.register_profile("same", derandomize=True, database=None, deadline=None)
hypothesis.settings.register_profile("random", max_examples=5000, deadline=None)
hypothesis.settings.load_profile("same")


def pytest_collection_modifyitems(session: pytest.Session, items: list[pytest.Item]) -> None:
    """Listed tests are expected to fail, and a run in which one passes fails."""
    try:
        listed = known_red.read()
    except known_red.InvalidListError as error:
        raise pytest.UsageError(f"{known_red.LIST.name}: {error}") from None
    whole_files = all("::" not in argument for argument in session.config.args)
    if whole_files and (unknown := known_red.unmatched(listed, [item.nodeid for item in items])):
        raise pytest.UsageError(f"{known_red.LIST.name}: no such test: {unknown[0].test}")
    for item in items:
        for known in listed:
            if known.covers(item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=str(known), strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Prints what is known to fail, whether it was among the tests of this run or not."""
    for known in known_red.read():
        terminalreporter.write_line(f"known to fail: {known}")


@pytest.fixture(autouse=True)
def no_violations(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[str]]:
    """A violated invariant fails every test in which it appears.

    A test of the invariants themselves empties the list.
    """
    found: list[str] = []

    def listen(invariant: Invariant, evidence: str) -> None:
        found.append(f"{invariant.name}: {evidence}")

    monkeypatch.setattr(InvariantMonitor, "listener", staticmethod(listen))
    yield found
    assert found == []
