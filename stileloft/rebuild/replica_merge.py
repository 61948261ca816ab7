"""Merges several controllers' replicas of the lost store."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from stileloft.rebuild.job_outcomes import JobOutcomes
from stileloft.rebuild.snapshot import Snapshot


@dataclass(slots=True)
class MergedReplica:
    """Known content of the lost store."""

    records: dict[str, Any] = field(default_factory=dict)
    outcomes: JobOutcomes = field(default_factory=JobOutcomes)
    has_last_leader: bool = False
    """Whether the last leader's own replica is included, which holds every placement that was made."""
    highest_token: int = 0
    """Highest token issued before the loss that any of the controllers has seen."""
    sources: list[str] = field(default_factory=list)
    """Controllers whose records are included, the most current replica first."""


def merge(snapshots: Iterable[Snapshot], deployment: str | None, highest_token: int, token_base: int) -> MergedReplica:
    """Returns the merged replica of one deployment's snapshots; of all snapshots if `deployment` is None.

    `highest_token` is the highest token that this controller saw before the loss; tokens above `token_base` were issued
    after it. Records come only from replicas of the newest generation, since versions of different generations are not
    comparable.
    """
    usable = [s for s in snapshots if deployment is None or s.holder.deployment == deployment]
    merged = MergedReplica(highest_token=highest_token)
    for snapshot in usable:
        tokens = (snapshot.holder.highest_token, snapshot.holder.last_term_token)
        merged.highest_token = max(merged.highest_token, *(token for token in tokens if token <= token_base), 0)
        # Outcomes are final, so those of earlier generations of the store count too.
        merged.outcomes.update(snapshot.replica.outcomes)
    merged.has_last_leader = any(s.holder.was_last_leader(merged.highest_token, s.replica) for s in usable)
    newest = max((s.replica.generation for s in usable), default=0)
    current = [s for s in usable if s.replica.generation == newest]
    current.sort(key=lambda s: (s.replica.complete, s.replica.revision), reverse=True)
    merged.sources = [s.holder.member for s in current]
    merged.records = _newest_records(current)
    return merged


def _newest_records(snapshots: Sequence[Snapshot]) -> dict[str, Any]:
    """Returns the newest value of each record.

    The first snapshot is the most current one and serves as the base: a record that the base lacks, and whose version
    is not above the base's revision, was deleted.
    """
    if not snapshots:
        return {}
    base = snapshots[0].replica
    found = dict(base.records)
    for other in snapshots[1:]:
        for key, record in other.replica.records.items():
            newest = found.get(key)
            if (newest is None and record.version > base.revision) or (newest and record.version > newest.version):
                found[key] = record
    return {key: record.value() for key, record in found.items()}
