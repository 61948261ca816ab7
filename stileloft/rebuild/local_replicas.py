"""The replicas of the store that this controller holds."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from stileloft.rebuild.change_notice import ChangeNotice
from stileloft.rebuild.replica import Replica


class LocalReplicas:
    """The replica in use, and the next one while all records are read."""

    def __init__(self) -> None:
        self.current = Replica()
        """What the store held last while it was sound."""
        self.loading: Replica | None = None
        """The next replica, while all records are read."""

    def _all(self) -> Iterator[Replica]:
        yield self.current
        if self.loading is not None:
            yield self.loading

    def is_complete(self, generation: int) -> bool:
        """Whether all records of this generation of the store were read."""
        return self.current.complete and self.current.generation == generation

    def record_commit(self, generation: int, puts: Mapping[str, Any], deletes: Iterable[str], revision: int) -> None:
        """Applies what this controller has just written to the store of this generation."""
        for replica in self._all():
            if replica.generation != generation:
                continue
            replica.apply_all((key, value, revision) for key, value in puts.items())
            replica.apply_all((key, None, revision) for key in deletes)

    def apply_notice(self, notice: ChangeNotice) -> None:
        """Applies what another controller has written."""
        for replica in self._all():
            notice.apply_to(replica)

    def replace(self, replica: Replica) -> None:
        """Puts another replica into use; the outcomes that are known stay known."""
        replica.outcomes.update(self.current.outcomes)
        self.current = replica
