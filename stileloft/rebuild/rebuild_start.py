"""First step of a rebuild: a new leader marks the store, and gets a fencing token above all issued ones."""

import logging

from stileloft.model import records
from stileloft.rebuild import identity as identities
from stileloft.rebuild.environment import RebuildEnvironment
from stileloft.rebuild.identity import Identity
from stileloft.rebuild.store_status import StoreStatus
from stileloft.rebuild.token_history import TokenHistory

log = logging.getLogger(__name__)

# Distance between the highest known token and the next one: tokens that no controller has seen may have been issued
# before the loss.
TOKEN_MARGIN = 1 << 20


async def begin_rebuild(
    environment: RebuildEnvironment, store: StoreStatus, tokens: TokenHistory, key_version: int
) -> int:
    """Marks the store as being rebuilt; returns the fencing token of the leader whose key has this version."""
    for view in await environment.peers.views():
        tokens.observe(view.highest_token)
    found = await environment.state.lookup(records.IDENTITY)
    expected = store.identity or identities.new_identity()
    stored = None if found is None else identities.from_record(found[0])
    tokens.highest_before_loss = max(tokens.highest_before_loss, tokens.highest)
    marked = mark_rebuilding(expected, stored, tokens.highest, key_version)
    guards = {records.LEADER: key_version, records.IDENTITY: 0 if found is None else found[1]}
    version = await environment.state.commit(guards, {records.IDENTITY: identities.to_record(marked)}, [])
    store.begin_rebuild(marked, version)
    tokens.highest = marked.token_base + key_version
    log.info("rebuild started generation=%d token=%d", marked.generation, tokens.highest)
    return tokens.highest


def mark_rebuilding(expected: Identity, stored: Identity | None, highest_token: int, key_version: int) -> Identity:
    """Returns the store's identity during the rebuild, from the last known identity and the stored one, if any."""
    if stored is not None and stored.deployment != expected.deployment:
        stored = None  # another deployment's store has replaced this one
    generation = max(expected.generation, stored.generation if stored else 0)
    token_base = max(expected.token_base, stored.token_base if stored else 0)
    if stored is None or not stored.rebuilding:
        generation += 1
        token_base = max(token_base, highest_token) + TOKEN_MARGIN
    elif highest_token >= token_base + key_version:
        token_base = highest_token + TOKEN_MARGIN
    return Identity(expected.deployment, generation, token_base, rebuilding=True)
