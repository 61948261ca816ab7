"""The administration API: operator settings, and requests about a rebuild."""

import pytest
from twisted.internet import defer

from stileloft.protocol.admin import OperatorSettings, parse_operator_settings
from stileloft.protocol.admin_errors import InvalidSettingsError, StaleVersionError
from stileloft.protocol.rebuild_admin import RebuildResources
from stileloft.transport.server import Response
from tests.simulation.cluster import SimulatedCluster


class StubNode:
    """Answers the administration API's questions about a rebuild."""

    enabled = True

    def rebuild_status(self) -> dict | None:
        return {"phase": "sound"} if self.enabled else None

    def snapshot_piece(self, number: int) -> bytes | None:
        return b"piece" if number == 0 else None

    def receive_change_notice(self, body: object) -> bool:
        return body == "notes"

    async def decide(self, job: str, task: int | None, decision: str) -> dict | None:
        if decision != "run":
            raise InvalidSettingsError("decision: unknown")
        return {"task": task} if job == "j-1" else None


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("GET", "/rebuild", None, 200),
        ("GET", "/rebuild/snapshot/0", None, 200),
        ("GET", "/rebuild/snapshot/1", None, 404),
        ("GET", "/rebuild/snapshot/-1", None, 404),
        ("GET", "/rebuild/snapshot/9999999999", None, 404),
        ("POST", "/rebuild/notes", "notes", 200),
        ("POST", "/rebuild/notes", {"changes": 3}, 400),
        ("PUT", "/rebuild/undecided/j-1", {"decision": "run", "task": 3}, 200),
        ("PUT", "/rebuild/undecided/j-1", {"decision": "run"}, 200),
        ("PUT", "/rebuild/undecided/j-2", {"decision": "run"}, 404),
        ("PUT", "/rebuild/undecided/nobody", {"decision": "run"}, 404),
        ("PUT", "/rebuild/undecided/j-1", {"decision": "perhaps"}, 400),
        ("PUT", "/rebuild/undecided/j-1", {"decision": "run", "task": -1}, 400),
        ("PUT", "/rebuild/undecided/j-1", {"decision": "run", "task": True}, 400),
        ("PUT", "/rebuild/undecided/j-1", [], 400),
    ],
)
def test_requests_about_a_rebuild(method: str, path: str, body: object, status: int) -> None:
    handlers, arguments = RebuildResources(StubNode()).match(path)
    answer = handlers[method](body, arguments)
    if not isinstance(answer, Response):
        answer = defer.ensureDeferred(answer).result
    assert answer.status == status
    assert status == 200 or answer.body["error"]


def test_without_the_feature_there_is_no_rebuild_to_ask_about() -> None:
    node = StubNode()
    node.enabled = False
    handlers, arguments = RebuildResources(node).match("/rebuild")
    assert handlers["GET"](None, arguments).status == 404


def test_operator_settings_are_checked() -> None:
    assert parse_operator_settings({"headroom": 0.5}) == OperatorSettings(headroom=0.5)
    for wrong in ({"headrom": 1}, {"headroom": -1}, {"headroom": float("nan")}, {"max_machines": 1.5}, None, []):
        with pytest.raises(InvalidSettingsError):
            parse_operator_settings(wrong)


def test_operator_settings_are_compared_and_set_and_reach_all_nodes() -> None:
    cluster = SimulatedCluster(2)
    cluster.run(5)

    def ask(coroutine) -> object:
        result: list = []
        defer.ensureDeferred(coroutine).addBoth(result.append)
        cluster.run(1)
        return result[0]

    node = cluster.nodes["node-0"]
    assert ask(node.administration.read_settings()) == (OperatorSettings(), 0)
    version = ask(node.administration.change_settings(OperatorSettings(headroom=3.0), 0))
    assert isinstance(version, int)
    late = ask(node.administration.change_settings(OperatorSettings(headroom=4.0), 0))
    assert late.type is StaleVersionError
    cluster.run(1)
    assert {n.operator_settings.current.headroom for n in cluster.nodes.values()} == {3.0}
