"""The record that distinguishes one deployment's store from another's, and from an empty one."""

import secrets
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, field

from stileloft.rebuild.errors import InvalidIdentityError

FIRST_GENERATION = 1
DEPLOYMENT_ID_BYTES = 8


class Identity(Struct, frozen=True, omit_defaults=True):
    """Whose store it is, and how often it was rebuilt."""

    deployment: Annotated[str, Meta(min_length=8, max_length=64)]
    generation: Annotated[int, Meta(ge=1)] = FIRST_GENERATION
    """One more with each rebuild."""
    token_base: Annotated[int, Meta(ge=0)] = 0
    """Fencing tokens are this plus the version of the leader key: versions begin again in a wiped store, tokens must
    not."""
    rebuilding: bool = False
    """Its records are being written back: what is missing may only not have been written yet."""
    unreconciled_members: tuple[str, ...] = field(default=(), name="unheard")
    """Controllers whose replicas the rebuild could not read: what is missing may be known to them."""


def new_identity() -> Identity:
    """The identity of a deployment that has none."""
    return Identity(secrets.token_hex(DEPLOYMENT_ID_BYTES))


def to_record(identity: Identity) -> dict[str, Any]:
    """The record as it is stored."""
    record: dict[str, Any] = msgspec.to_builtins(identity)
    return record


def from_record(value: Any) -> Identity:
    """The identity in a stored record; raises `InvalidIdentityError` if this version can't read it."""
    try:
        return msgspec.convert(value, Identity)
    except msgspec.ValidationError as error:
        raise InvalidIdentityError(str(error)) from None
