"""Writes records into a store that is being rebuilt, in transactions within its limits."""

from collections.abc import Callable, Iterator
from typing import Any

from stileloft.model import records
from stileloft.protocol.state import TooLargeError, UnavailableError
from stileloft.rebuild.environment import RebuildEnvironment
from stileloft.rebuild.reconstruction import Reconstruction
from stileloft.rebuild.replica import RESTORED_KEYS, RESTORED_PREFIXES, Replica
from stileloft.rebuild.store_status import StoreStatus
from stileloft.store.limits import StoreLimits
from stileloft.store.transaction_batch import MAX_TRANSACTION_BYTES

# Interval at which the leader's write budget is tried again.
BUDGET_RETRY_S = 0.1


class RecordWriter:
    """Reads the records that the store holds, and writes those that it should hold.

    Each transaction is guarded on the leadership, the identity and each record, so that concurrent changes are not
    overwritten.
    """

    def __init__(self, environment: RebuildEnvironment, store: StoreStatus, is_active: Callable[[], bool]) -> None:
        self._environment = environment
        self._state = environment.state
        self._store = store
        self._is_active = is_active
        self._limits = StoreLimits(environment.settings.deployment.state)
        self._stored: dict[str, Any] = {}
        """Values in the store, by key."""
        self._versions: dict[str, int] = {}
        """Versions of these records, by key."""
        self.written = 0
        """Changes committed by the last `write` so far."""
        self.to_write = 0
        """Changes of the last `write` in total."""
        self.transactions = 0

    async def read(self) -> dict[str, Any]:
        """Reads and returns the records in the store that a rebuild may write, by key."""
        self._stored.clear()
        self._versions.clear()
        for prefix in (*RESTORED_PREFIXES, records.FINAL, records.ENDED):
            items, _ = await self._state.scan(prefix)
            for key, value, version in items:
                self._stored[key], self._versions[key] = value, version
        for key in RESTORED_KEYS:
            found = await self._state.lookup(key)
            if found is not None:
                self._stored[key], self._versions[key] = found
        return dict(self._stored)

    async def write(self, result: Reconstruction) -> None:
        """Commits the changes of a reconstruction.

        Raises the errors of `StateClient.commit`, and `UnavailableError` if the rebuild has been stopped.
        """
        puts = result.puts | self._outcome_records(result)
        self.written, self.to_write = 0, len(puts) + len(result.deletes)
        for batch in self._put_batches(puts):
            await self._commit(batch, [])
        max_changes = self._max_changes()
        for first in range(0, len(result.deletes), max_changes):
            await self._commit({}, result.deletes[first : first + max_changes])

    def _outcome_records(self, result: Reconstruction) -> dict[str, Any]:
        """Returns the records of the new outcomes, numbered after those that the store holds."""
        numbers = [int(key[len(records.ENDED) :]) for key in self._stored if key.startswith(records.ENDED)]
        values = result.new_outcomes.to_records(self._limits.max_value_bytes)
        return {
            f"{records.ENDED}{number:06d}": value for number, value in enumerate(values, max(numbers, default=0) + 1)
        }

    def _max_changes(self) -> int:
        return max(1, self._limits.max_changes)

    def _put_batches(self, puts: dict[str, Any]) -> Iterator[dict[str, Any]]:
        """Yields the records in batches of a transaction's size."""
        max_changes = self._max_changes()
        batch: dict[str, Any] = {}
        size = 0
        # Outcomes come first: without its outcome, an ended job would look as if it had never been submitted.
        for key in sorted(puts, key=lambda key: (not key.startswith(records.ENDED), key)):
            length = records.max_compact_bytes(puts[key]) + len(key)
            if batch and (len(batch) >= max_changes or size + length > MAX_TRANSACTION_BYTES):
                yield batch
                batch, size = {}, 0
            batch[key] = puts[key]
            size += length
        if batch:
            yield batch

    async def _commit(self, puts: dict[str, Any], deletes: list[str]) -> None:
        """Commits one transaction as soon as the leader's write budget allows it."""
        changes = len(puts) + len(deletes)
        budget = self._environment.leader_write_budget
        while not budget.try_take(min(changes, budget.rate_per_s)):
            await self._environment.sleep(BUDGET_RETRY_S)
        if not self._is_active():
            raise UnavailableError("the leadership is over")
        guards = self.guards() | {key: self._versions.get(key, 0) for key in (*puts, *deletes)}
        try:
            revision = await self._state.commit(guards, puts, deletes)
        except TooLargeError:
            self._limits.reduce_after_refusal(puts.values(), changes)
            raise
        self.transactions += 1
        self.written += changes
        self._record_commit(puts, deletes, revision)

    def _record_commit(self, puts: dict[str, Any], deletes: list[str], revision: int) -> None:
        for key, value in puts.items():
            self._versions[key] = revision
            self._stored[key] = value
        for key in deletes:
            self._stored.pop(key, None)

    def guards(self) -> dict[str, int]:
        """Returns guards on this controller's leadership and on the identity with which it marked the store."""
        return {
            records.LEADER: self._environment.leadership().key_version,
            records.IDENTITY: self._store.identity_version,
        }

    def replica(self, generation: int, revision: int) -> Replica:
        """Returns a complete replica of the store, so that a further loss is covered before the store is read again."""
        replica = Replica(generation)
        replica.apply_all((key, value, self._versions[key]) for key, value in self._stored.items())
        replica.advance(revision)
        replica.complete = True
        return replica
