"""The replicas of the store that this controller holds."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from stileloft.rebuild.change_notice import ChangeNotice
from stileloft.rebuild.replica import Replica


class LocalReplicas:
    """The replica in use and, while all records are being read, the next replica."""

    def __init__(self) -> None:
        self.current = Replica()
        """Content of the store when it was last sound."""
        self.loading: Replica | None = None
        """The next replica while all records are read; None otherwise."""

    def _all(self) -> Iterator[Replica]:
        yield self.current
        if self.loading is not None:
            yield self.loading

    def is_complete(self, generation: int) -> bool:
        """Whether all records of this generation of the store have been read."""
        return self.current.complete and self.current.generation == generation

    def record_commit(self, generation: int, puts: Mapping[str, Any], deletes: Iterable[str], revision: int) -> None:
        """Applies a commit that this controller made in the store of this generation."""
        for replica in self._all():
            if replica.generation != generation:
                continue
            replica.apply_all((key, value, revision) for key, value in puts.items())
            replica.apply_all((key, None, revision) for key in deletes)

    def apply_notice(self, notice: ChangeNotice) -> None:
        """Applies changes that another controller has committed."""
        for replica in self._all():
            notice.apply_to(replica)

    def replace(self, replica: Replica) -> None:
        """Replaces the replica in use; the previous one's outcomes are added to the new one."""
        replica.outcomes.update(self.current.outcomes)
        self.current = replica
