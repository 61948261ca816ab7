"""What the store's identity, its revisions and fencing tokens show: phases of the store, and a new leader's token."""

from typing import Any

import pytest
from twisted.internet.task import Clock

from stileloft.protocol.state import StateClient, StoreLostError
from stileloft.rebuild import identity as identities
from stileloft.rebuild.identity import Identity
from stileloft.rebuild.rebuild_start import TOKEN_MARGIN, mark_rebuilding
from stileloft.rebuild.store_status import StorePhase, StoreStatus
from stileloft.rebuild.token_history import TokenHistory

DEPLOYMENT = "0123456789abcdef"
KNOWN = Identity(DEPLOYMENT, generation=3, token_base=100)


class StatusOfAStore:
    """A store's status, with what it was told to forget."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.state = StateClient(self.clock, None, "state", 1.0)  # type: ignore[arg-type]
        self.tokens = TokenHistory()
        self.forgotten = 0
        self.status = StoreStatus(self.state, self.clock, self.tokens, self.forget)

    def forget(self) -> None:
        self.forgotten += 1

    def find(self, identity: Identity | None, version: int = 10, revision: int = 20) -> StorePhase:
        """The phase after the store was asked for its identity."""
        found = None if identity is None else (identities.to_record(identity), version)
        self.status.evaluate_identity(found, revision)
        return self.status.phase


def sound_store() -> StatusOfAStore:
    store = StatusOfAStore()
    assert store.find(KNOWN) is StorePhase.SOUND
    return store


@pytest.mark.parametrize(
    ("found", "phase", "reason"),
    [
        (KNOWN, StorePhase.SOUND, ""),
        (Identity(DEPLOYMENT, 4, 100), StorePhase.SOUND, ""),
        (Identity(DEPLOYMENT, 4, 100, rebuilding=True), StorePhase.REBUILDING, ""),
        (None, StorePhase.LOST, "identity is gone"),
        (Identity(DEPLOYMENT, 2, 100), StorePhase.LOST, "generation 2"),
        (Identity("fedcba9876543210", 3, 100), StorePhase.LOST, "another deployment"),
    ],
)
def test_the_identity_shows_whether_the_store_is_the_known_one(
    found: Identity | None, phase: StorePhase, reason: str
) -> None:
    store = sound_store()
    assert store.find(found) is phase
    assert reason in store.status.reason
    assert bool(reason) == (store.status.lost_at is not None)


def test_an_unreadable_identity_is_a_loss() -> None:
    store = sound_store()
    store.status.evaluate_identity(({"deployment": 3}, 11), 21)
    assert store.status.phase is StorePhase.LOST
    assert store.status.reason.startswith("identity record: ")


def test_an_older_state_of_the_same_store_stays_lost_until_it_is_rebuilt() -> None:
    store = sound_store()
    store.state.highest_revision = 50
    assert store.state.on_revision_regression is not None
    store.state.on_revision_regression(50, 30)
    assert store.status.phase is StorePhase.LOST
    assert store.status.guards() == {}
    assert store.find(KNOWN, revision=30) is StorePhase.LOST
    assert store.find(Identity(DEPLOYMENT, 4, 200, rebuilding=True)) is StorePhase.REBUILDING
    assert store.find(Identity(DEPLOYMENT, 4, 200)) is StorePhase.SOUND
    assert store.status.lost_at is None
    assert store.forgotten == 1


def test_the_first_loss_counts_when_the_store_is_lost_again() -> None:
    store = sound_store()
    store.clock.advance(5.0)
    store.status.mark_lost("first")
    store.find(Identity(DEPLOYMENT, 4, 200, rebuilding=True))
    store.clock.advance(5.0)
    store.status.mark_lost("second")
    assert store.status.lost_at == 5.0
    assert store.status.reason == "second"


def test_an_older_change_of_the_identity_changes_nothing() -> None:
    store = sound_store()
    older: Any = identities.to_record(Identity(DEPLOYMENT, 2, 100))
    store.status.apply_identity_change(older, 9)
    assert store.status.phase is StorePhase.SOUND
    assert store.status.identity == KNOWN
    store.status.apply_identity_change(None, 12)
    assert store.status.phase is StorePhase.LOST


def test_transactions_are_guarded_on_the_identity_that_is_known() -> None:
    store = StatusOfAStore()
    assert store.status.guards() == {}
    store.status.mark_unprotected()
    assert store.status.guards() == {"identity": 0}
    store.find(KNOWN, version=17)
    assert store.status.guards() == {"identity": 17}


def test_answers_to_requests_from_before_a_loss_are_refused() -> None:
    store = sound_store()
    store.state.highest_revision = 50
    with pytest.raises(StoreLostError):
        store.state._check_revision(50, 30)
    assert store.status.phase is StorePhase.LOST
    assert store.state.highest_revision == 0


# -- tokens ---------------------------------------------------------------------------------------------------------


def test_a_rebuild_is_one_generation_on_and_its_tokens_are_above_all_known() -> None:
    for present in (None, KNOWN, Identity("fedcba9876543210", 9, 900)):
        marked = mark_rebuilding(KNOWN, present, highest_token=150, key_version=3)
        assert marked == Identity(DEPLOYMENT, 4, 150 + TOKEN_MARGIN, rebuilding=True)


def test_the_next_leader_of_a_rebuild_keeps_the_generation_and_the_base() -> None:
    present = Identity(DEPLOYMENT, 4, 1000, rebuilding=True)
    assert mark_rebuilding(KNOWN, present, highest_token=1002, key_version=7) == present
    # A worker knows a token that this leader would issue: the base has to go up.
    raised = mark_rebuilding(KNOWN, present, highest_token=1007, key_version=7)
    assert raised == Identity(DEPLOYMENT, 4, 1007 + TOKEN_MARGIN, rebuilding=True)


def test_whoever_raised_a_token_led_under_it() -> None:
    tokens = TokenHistory()
    tokens.begin_term(7, 2)
    tokens.observe(5)
    tokens.record_raised(9)
    assert (tokens.highest, tokens.last_term_token, tokens.last_term_generation) == (9, 9, 2)
    tokens.observe(12)
    assert (tokens.highest, tokens.last_term_token) == (12, 9)
