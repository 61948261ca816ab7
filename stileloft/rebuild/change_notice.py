"""The message in which a controller announces changes to the others when it confirms them to its users."""

from typing import Any

import msgspec
from msgspec import Struct

from stileloft.model import records
from stileloft.rebuild.errors import InvalidChangeNoticeError
from stileloft.rebuild.replica import RecordChange, Replica

MAX_CHANGES = 500


class ChangeNotice(Struct, frozen=True):
    """Changes of one deployment's store in one generation."""

    deployment: str
    generation: int
    changes: list[RecordChange]

    def apply_to(self, replica: Replica) -> None:
        """Applies the changes to a replica, unless the replica is of another generation of the store."""
        if self.generation == replica.generation:
            replica.apply_all(self.changes)


def is_announced(key: str) -> bool:
    """Whether changes of this record are announced: it is the record of an unfinished job or of an outcome."""
    return key.startswith((records.ACTIVE, records.FINAL))


def parse_change_notice(body: Any) -> ChangeNotice:
    """Returns a validated notice; raises `InvalidChangeNoticeError`."""
    try:
        notice = msgspec.convert(body, ChangeNotice)
    except msgspec.ValidationError as error:
        raise InvalidChangeNoticeError(str(error)) from None
    if len(notice.changes) > MAX_CHANGES:
        raise InvalidChangeNoticeError(f"{len(notice.changes)} changes, at most {MAX_CHANGES} are allowed")
    for change in notice.changes:
        if not is_announced(change.key) or not (change.value is None or isinstance(change.value, dict)):
            raise InvalidChangeNoticeError(f"record {change.key!r} is not announced, or its value is not a map")
    return notice
