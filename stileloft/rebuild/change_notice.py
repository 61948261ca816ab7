"""The message with which a controller tells the others of changes that its users have been told of."""

from typing import Any

import msgspec
from msgspec import Struct

from stileloft.model import records
from stileloft.rebuild.errors import InvalidChangeNoticeError
from stileloft.rebuild.replica import RecordChange, Replica

MAX_CHANGES = 500


class ChangeNotice(Struct, frozen=True):
    """Changes of the store of one deployment and generation."""

    deployment: str
    generation: int
    changes: list[RecordChange]

    def apply_to(self, replica: Replica) -> None:
        """Applies the changes to a replica, unless it is of another generation of the store."""
        if self.generation == replica.generation:
            replica.apply_all(self.changes)


def is_announced(key: str) -> bool:
    """Whether users are told of changes of this record: it is a job's, or its outcome."""
    return key.startswith((records.ACTIVE, records.FINAL))


def parse_change_notice(body: Any) -> ChangeNotice:
    """A checked notice; raises `InvalidChangeNoticeError` if it can't be used."""
    try:
        notice = msgspec.convert(body, ChangeNotice)
    except msgspec.ValidationError as error:
        raise InvalidChangeNoticeError(str(error)) from None
    if len(notice.changes) > MAX_CHANGES:
        raise InvalidChangeNoticeError(f"more than {MAX_CHANGES} changes")
    for change in notice.changes:
        if not is_announced(change.key) or not (change.value is None or isinstance(change.value, dict)):
            raise InvalidChangeNoticeError(f"{change.key!r} is not a record that is announced")
    return notice
