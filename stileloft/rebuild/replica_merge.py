"""One replica of the lost store, merged from those of several controllers."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from stileloft.rebuild.job_outcomes import JobOutcomes
from stileloft.rebuild.snapshot import Snapshot


@dataclass(slots=True)
class MergedReplica:
    """What the store held, as far as is known."""

    records: dict[str, Any] = field(default_factory=dict)
    outcomes: JobOutcomes = field(default_factory=JobOutcomes)
    has_last_leader: bool = False
    """Whether the last leader's own replica is in it: then nothing was placed that it does not hold."""
    highest_token: int = 0
    """The highest token that any of the controllers has seen."""
    sources: list[str] = field(default_factory=list)
    """The controllers whose replicas are in it."""


def merge(snapshots: Iterable[Snapshot], deployment: str | None, highest_token: int, token_base: int) -> MergedReplica:
    """The merged replica of one deployment's snapshots.

    `highest_token` is the highest that was seen before the loss; those above `token_base` were issued since.
    Only replicas of the newest generation count, since versions of two generations can't be compared.
    """
    usable = [s for s in snapshots if deployment is None or s.holder.deployment == deployment]
    merged = MergedReplica(highest_token=highest_token)
    for snapshot in usable:
        tokens = (snapshot.holder.highest_token, snapshot.holder.last_term_token)
        merged.highest_token = max(merged.highest_token, *(token for token in tokens if token <= token_base), 0)
        # Outcomes are final whatever became of the store since.
        merged.outcomes.update(snapshot.replica.outcomes)
    merged.has_last_leader = any(s.holder.was_last_leader(merged.highest_token, s.replica) for s in usable)
    newest = max((s.replica.generation for s in usable), default=0)
    current = [s for s in usable if s.replica.generation == newest]
    current.sort(key=lambda s: (s.replica.complete, s.replica.revision), reverse=True)
    merged.sources = [s.holder.member for s in current]
    merged.records = _newest_records(current)
    return merged


def _newest_records(snapshots: Sequence[Snapshot]) -> dict[str, Any]:
    """The newest value of each record.

    The first snapshot has followed furthest and is the base: a record that it does not have, and that is no newer than
    it, was deleted.
    """
    if not snapshots:
        return {}
    base = snapshots[0].replica
    found = dict(base.records)
    for other in snapshots[1:]:
        for key, record in other.replica.records.items():
            known = found.get(key)
            if (known is None and record.version > base.revision) or (known and record.version > known.version):
                found[key] = record
    return {key: record.value() for key, record in found.items()}
