"""The first step of a rebuild: a new leader marks the store, and finds a fencing token above all that were issued."""

import logging

from stileloft.model import records
from stileloft.rebuild import identity as identities
from stileloft.rebuild.environment import RebuildEnvironment
from stileloft.rebuild.identity import Identity
from stileloft.rebuild.store_status import StoreStatus
from stileloft.rebuild.token_history import TokenHistory

log = logging.getLogger(__name__)

# Tokens that nobody knows of may have been issued before a loss: the new ones begin so far above the highest known.
TOKEN_MARGIN = 1 << 20


async def begin_rebuild(
    environment: RebuildEnvironment, store: StoreStatus, tokens: TokenHistory, key_version: int
) -> int:
    """Marks the store as being rebuilt; returns the token of the leader whose key has this version."""
    for view in await environment.peers.views():
        tokens.observe(view.highest_token)
    found = await environment.state.lookup(records.IDENTITY)
    known = store.identity or identities.new_identity()
    present = None if found is None else identities.from_record(found[0])
    tokens.highest_before_loss = max(tokens.highest_before_loss, tokens.highest)
    marked = mark_rebuilding(known, present, tokens.highest, key_version)
    guards = {records.LEADER: key_version, records.IDENTITY: 0 if found is None else found[1]}
    version = await environment.state.commit(guards, {records.IDENTITY: identities.to_record(marked)}, [])
    store.begin_rebuild(marked, version)
    tokens.highest = marked.token_base + key_version
    log.info("rebuild started generation=%d token=%d", marked.generation, tokens.highest)
    return tokens.highest


def mark_rebuilding(known: Identity, present: Identity | None, highest_token: int, key_version: int) -> Identity:
    """The identity of the store while it is rebuilt, from the one that was known and the one that it has now."""
    if present is not None and present.deployment != known.deployment:
        present = None  # of another deployment: its store was put in place of ours
    generation = max(known.generation, present.generation if present else 0)
    base = max(known.token_base, present.token_base if present else 0)
    if present is None or not present.rebuilding:
        generation += 1
        base = max(base, highest_token) + TOKEN_MARGIN
    elif highest_token >= base + key_version:
        base = highest_token + TOKEN_MARGIN
    return Identity(known.deployment, generation, base, rebuilding=True)
