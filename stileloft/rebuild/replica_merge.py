"""One image of the lost store from the replicas of several controllers."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from stileloft.rebuild.job_outcomes import Ends
from stileloft.rebuild.snapshot import Snapshot


@dataclass(slots=True)
class Image:
    """What the store held, as far as is known."""

    records: dict[str, Any] = field(default_factory=dict)
    ends: Ends = field(default_factory=Ends)
    leader_heard: bool = False
    """Whether the last leader's own replica is in it: then nothing was placed that it does not tell."""
    token: int = 0
    """The highest token that any of the controllers has seen."""
    sources: list[str] = field(default_factory=list)
    """The controllers whose replicas are in it."""


def merge(snapshots: Iterable[Snapshot], deployment: str | None, highest_token: int, token_base: int) -> Image:
    """The image of one deployment's snapshots.

    `highest_token` is the highest that was seen before the loss; those above `token_base` were given out since.
    Only replicas of the newest generation count, since versions of two generations can't be compared. The one that has
    followed furthest is the base: a record that it does not have, and that is no newer than it, was deleted.
    """
    usable = [s for s in snapshots if deployment is None or s.holder.deployment == deployment]
    image = Image(token=highest_token)
    for snapshot in usable:
        tokens = (snapshot.holder.highest_token, snapshot.holder.led_token)
        image.token = max(image.token, *(token for token in tokens if token <= token_base), 0)
        # Ends are final whatever became of the store since.
        image.ends.update(snapshot.replica.ends)
    image.leader_heard = any(s.holder.led_last(image.token, s.replica) for s in usable)
    newest = max((s.replica.generation for s in usable), default=0)
    current = [s for s in usable if s.replica.generation == newest]
    current.sort(key=lambda s: (s.replica.complete, s.replica.revision), reverse=True)
    image.sources = [s.holder.member for s in current]
    if not current:
        return image
    base = current[0].replica
    found = dict(base.records)
    for other in current[1:]:
        for key, record in other.replica.records.items():
            known = found.get(key)
            if (known is None and record.version > base.revision) or (known and record.version > known.version):
                found[key] = record
    image.records = {key: record.value() for key, record in found.items()}
    return image
