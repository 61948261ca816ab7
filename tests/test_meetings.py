"""Days on which two troubles or more meet: for each meeting that broke rules somewhere, a day that brings it about."""

from collections.abc import Callable

import pytest

from stileloft.coordination.leader import Term
from stileloft.transport.client import Reply
from tests.rules import CANCEL_S
from tests.standins import World

# -- the gap: a leader refused alone, cancellations confirmed by others, then an outage for all ----------------

Trouble = Callable[[World], None]


def long_jobs(world: World, jobs: int = 9) -> None:
    """Work that is still running when the troubles are over."""
    for number in range(jobs):
        world.clock.callLater(1.0 + 0.5 * number, world.submit, world.job(
            number, pieces=3, vcpus=3.0, guessS=150.0, crew=("core", "edge")[number % 2]))


def some_machines(world: World, part: int = 2) -> list:
    return [m for m in world.cloud.machines.values() if m.up][::part]


def nothing(world: World) -> None:
    pass


def machines_hang(world: World) -> None:
    for machine in some_machines(world):
        machine.hung = True

        def on(machine=machine) -> None:
            machine.hung = False
            machine.lapse()

        world.clock.callLater(9.0, on)


def machines_cut_off(world: World) -> None:
    for machine in some_machines(world):
        for name in world.names:
            world.cut(name, machine.name, 9.0, hold=True)


def machines_deaf(world: World) -> None:
    for machine in some_machines(world):
        world.deaf[machine.name] = world.now + 9.0


def machines_mute(world: World) -> None:
    for machine in some_machines(world):
        world.mute[machine.name] = world.now + 9.0


def refuse_leader(world: World, seconds: float = 14.0) -> None:
    name = world.leader()
    if name is not None:
        world.state.refuses[name] = world.now + seconds


def watch_over_cancellations(world: World, seconds: float) -> None:
    end = world.now + seconds
    while world.now < end:
        world.run(0.25)
        world.rules.check_cancelled()


def gap(seed: int, apart_s: float, trouble: Trouble, outage_s: float = CANCEL_S + 12.0, twice: bool = False) -> World:
    world = World(seed=seed, loss=0.002)
    long_jobs(world)
    world.run(40)
    assert len(world.rules.where) > 15
    for first in (0,) if not twice else (0, 4):
        refuse_leader(world)
        trouble(world)
        for number in range(first, first + 4):
            world.clock.callLater(apart_s * (0.1 + 0.25 * (number - first)), world.cancel, f"j-{number:06d}")
        world.clock.callLater(apart_s, world.state.outage, outage_s)
        watch_over_cancellations(world, apart_s + outage_s + 25.0)
    return world


@pytest.mark.parametrize("trouble", [nothing, machines_hang, machines_cut_off, machines_deaf, machines_mute])
@pytest.mark.parametrize("apart_s", [0.24, 0.8, 1.3, 1.6, 2.4, 3.6])
def test_the_gap(apart_s: float, trouble: Trouble) -> None:
    """What users were told is cancelled is gone in time, though its leader never hears of it while it answers."""
    world = gap(int(apart_s * 10), apart_s, trouble)
    assert world.rules.cancelled_at and world.rules.broken == []


def test_the_gap_twice_in_a_row() -> None:
    world = gap(5, 1.0, nothing, twice=True)
    assert len(world.rules.cancelled_at) >= 4 and world.rules.broken == []


def graces_in_a_row(seed: int, wait_s: float) -> World:
    """Standbys are elected and end at once, until the outage comes that long after an election."""
    world = World(seed=seed, loss=0.0)
    long_jobs(world)
    world.run(40)
    refuse_leader(world)
    for number in range(4):
        world.clock.callLater(0.1 + 0.1 * number, world.cancel, f"j-{number:06d}")
    elected = []

    def on_leader(name: str) -> None:
        elected.append(name)
        if len(elected) <= 3:
            world.clock.callLater(0.0, world.kill, name, 0.2)
        else:
            world.clock.callLater(wait_s, world.state.outage, CANCEL_S + 12.0)

    world.on_leader.append(on_leader)
    watch_over_cancellations(world, CANCEL_S + 40.0)
    assert len(elected) >= 4
    return world


@pytest.mark.parametrize("wait_s", [0.012, 0.4])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_graces_are_not_added_up(seed: int, wait_s: float) -> None:
    """The last has read the store or not; workers go from one leader that can't ask to another."""
    world = graces_in_a_row(seed, wait_s)
    assert len(world.rules.cancelled_at) == 4 and world.rules.broken == []


def test_a_leader_whose_watch_fails_answers_no_longer_than_its_grace() -> None:
    """Its lease is renewed all the time, but it hears of no cancellation."""
    world = World(seed=4, loss=0.0)
    long_jobs(world)
    world.run(40)
    leader, ask = world.leader(), world.state.ask

    def ask_but_watch(caller: str, method: str, path: str, body: object) -> object:
        if caller == leader and path.startswith("/watch?under=active/"):
            return Reply(503, {"error": "trouble"})
        return ask(caller, method, path, body)

    world.state.ask = ask_but_watch  # type: ignore[method-assign]
    world.run(2)
    for number in range(4):
        world.cancel(f"j-{number:06d}")
    watch_over_cancellations(world, CANCEL_S + 30.0)
    assert len(world.rules.cancelled_at) == 4 and world.rules.broken == []


def test_the_checker_sees_a_leader_that_answers_without_a_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Term, "may_renew", lambda term: True)
    broken = [line for seed in (1, 2, 3) for line in graces_in_a_row(seed, 0.012).rules.broken]
    assert any("ran_cancelled" in line for line in broken)
