"""The soak: its plans and links, and short seeded runs on real processes."""

import json
import random
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from stileloft.transport.client import NoResponseError
from tests.soak import plan as plans
from tests.soak.links import Fault, Links
from tests.soak.plan import InvalidPlanError

ROOT = Path(__file__).parent.parent
SEEDS = (3, 4, 5)
"""Before starts were fenced, two of these seeds broke the rule `ran_cancelled`, with the `troubles_s` of a long run."""
TROUBLES_S = 14.0

# -- plans -----------------------------------------------------------------------------------------------------------


def test_plans_are_reproducible_and_survive_encoding(tmp_path: Path) -> None:
    generated = [plans.generate(seed, 25.0, 14.0) for seed in range(300)]
    assert generated == [plans.generate(seed, 25.0, 14.0) for seed in range(300)]
    file = tmp_path / "plan.json"
    for plan in generated:
        file.write_text(plans.encode(plan))
        assert plans.read(file) == plan
    kinds = {trouble.kind for plan in generated for trouble in plan.troubles}
    assert kinds == set(plans.TroubleKind)
    assert any(plan.machines for plan in generated)
    assert any(plan.rebuild for plan in generated)


def test_plans_hold_messages_beyond_the_cancellation_time_and_overlap_troubles() -> None:
    generated = [plans.generate(seed, 25.0, 14.0) for seed in range(300)]
    assert max(t.most_s for plan in generated for t in plan.troubles if t.kind == "hold_commands") > 2.5 * 14.0
    for plan in generated:
        moments = [moment / 4 for moment in range(240)]
        at_once = max(sum(t.at_s <= m <= t.at_s + t.for_s + t.most_s for t in plan.troubles) for m in moments)
        assert at_once >= 2, plan


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"seed": -1}, "seed"),
        ({"machines": 10_000}, "machines"),
        ({"settle_s": 0}, "settle_s"),
        ({"color": 1}, "color"),
        ({"troubles": [{"kind": "flood", "at_s": 1}]}, "kind"),
        ({"troubles": [{"kind": "copies", "at_s": -1}]}, "at_s"),
        ({"troubles": [{"kind": "copies", "at_s": 1, "share": 1.5}]}, "share"),
        ({"troubles": [{"kind": "hold_commands", "at_s": 1, "least_s": 5, "most_s": 1}]}, "most_s"),
        ({"troubles": [{"kind": "copies", "at_s": 100}]}, "at_s"),
        ({"troubles": [{"kind": "cancel_fresh", "at_s": 1}]}, "count"),
        ({"troubles": [{"kind": "kill", "at_s": 1, "target": "state"}]}, "target"),
        ({"troubles": [{"kind": "cut", "at_s": 1, "mode": "eat"}]}, "mode"),
    ],
)
def test_an_invalid_plan_is_refused_with_the_name_of_the_field(
    tmp_path: Path, change: dict[str, Any], field: str
) -> None:
    file = tmp_path / "plan.json"
    file.write_text(json.dumps({"seed": 1, "troubles": []} | change))
    with pytest.raises(InvalidPlanError, match=field):
        plans.read(file)


@pytest.mark.parametrize(
    ("options", "field"),
    [
        (["--seeds", "0"], "seeds"),
        (["--seeds", "5", "--processes", "99"], "processes"),
        (["--seed", "-3"], "seed"),
        (["--seed", "1", "--troubles-s", "0"], "troubles-s"),
        (["--plan", "no such file"], "plan"),
        (["--seed", "x"], "seed"),
    ],
)
def test_an_invalid_option_is_refused_with_its_name(options: list[str], field: str) -> None:
    done = subprocess.run([sys.executable, "-m", "tests.soak", *options], capture_output=True, text=True, cwd=ROOT)
    assert done.returncode == 2
    assert field in done.stderr.splitlines()[-1]
    assert done.stdout == ""


# -- links -----------------------------------------------------------------------------------------------------------


def transmit(mode: str, at_s: float = 1.0, **more: Any) -> tuple[list[float], list[Any]]:
    """Sends a request at `at_s` over a link with a fault from 0 s to 10 s.

    Returns the times at which the request was executed, and the responses, each with its time.
    """
    clock = Clock()
    links = Links(clock, clock.seconds, random.Random(1))
    links.faults.append(Fault(10.0, "node-*", "n-*", mode, least_s=30.0, most_s=30.0, **more))
    executed: list[float] = []
    responses: list[Any] = []

    def handle() -> str:
        executed.append(clock.seconds())
        return "done"

    clock.advance(at_s)
    answered = links.transmit("node-1", "n-000001", {"orders": [{"verb": "launch"}]}, handle)
    answered.addCallbacks(
        lambda result: responses.append((clock.seconds(), result)), lambda error: responses.append(error.type)
    )
    clock.pump([1.0] * 40)
    return executed, responses


def test_each_fault_mode_of_a_link() -> None:
    assert transmit("drop") == ([], [])
    assert transmit("drop_answer") == ([1.0], [])
    assert transmit("hold") == ([31.0], [(31.0, "done")])
    assert transmit("hold_answer") == ([1.0], [(31.0, "done")])
    assert transmit("copy") == ([1.0, 31.0], [(1.0, "done")])
    assert transmit("refuse") == ([], [NoResponseError])
    assert transmit("drop", at_s=10.0) == ([10.0], [(10.0, "done")]), "the fault has ended"
    assert transmit("drop", verb="stop") == ([1.0], [(1.0, "done")]), "the fault affects other commands only"


def test_a_held_request_is_executed_after_its_sender_has_cancelled_it() -> None:
    clock = Clock()
    links = Links(clock, clock.seconds, random.Random(1))
    links.faults.append(Fault(1.0, "*", "*", "hold", least_s=60.0, most_s=60.0))
    executed: list[float] = []
    answered = links.transmit("node-0", "n-000000", {}, lambda: executed.append(clock.seconds()))
    answered.addErrback(lambda failure: failure.trap(defer.CancelledError))
    answered.cancel()
    clock.advance(60.0)
    assert executed == [60.0]


# -- real processes --------------------------------------------------------------------------------------------------


@pytest.mark.parametrize("seed", SEEDS)
def test_a_short_soak_breaks_no_rule(seed: int) -> None:
    command = [sys.executable, "-m", "tests.soak", "--seed", str(seed), "--troubles-s", str(TROUBLES_S)]
    done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, timeout=300)
    assert done.stdout, done.stderr
    result = json.loads(done.stdout.splitlines()[-1])
    assert result["failures"] == [], done.stderr
    assert done.returncode == 0, done.stderr
    assert result["cancelled"] > 0
    assert result["starts"] > 0
    assert result["logged"]["elections"] > 0
    assert 0.0 <= result["longest_part"] <= 1.0


def test_the_system_does_not_assign_a_port_reserved_for_a_controller() -> None:
    """A fake that listened on port 0 was assigned a controller's port, and the controller exited at its start."""
    code = (
        "import socket; from tests.loopback_cluster import LOCAL, free_ports\n"
        "chosen = set(free_ports(6))\n"
        "others = [socket.create_server((LOCAL, 0)) for _ in range(400)]\n"
        "print(len(chosen), sorted(chosen & {each.getsockname()[1] for each in others}))"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT)
    assert done.stdout.split("\n")[0] == "6 []", done.stderr
