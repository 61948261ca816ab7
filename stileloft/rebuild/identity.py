"""The identity record, which distinguishes a deployment's store from another deployment's and from an empty one."""

import secrets
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, field

from stileloft.rebuild.errors import InvalidIdentityError

FIRST_GENERATION = 1
DEPLOYMENT_ID_BYTES = 8


class Identity(Struct, frozen=True, omit_defaults=True):
    """The deployment that a store belongs to, and the state of its rebuilds."""

    deployment: Annotated[str, Meta(min_length=8, max_length=64)]
    generation: Annotated[int, Meta(ge=1)] = FIRST_GENERATION
    """Incremented by each rebuild."""
    token_base: Annotated[int, Meta(ge=0)] = 0
    """Fencing tokens are this plus the version of the leader key: a wiped store counts versions from the start again,
    and tokens must not repeat."""
    rebuilding: bool = False
    """Whether a leader is writing the records back; a missing record may not have been written yet."""
    unreconciled_members: tuple[str, ...] = field(default=(), name="unheard")
    """Controllers whose replicas the rebuild could not read: they may know records that the store lacks."""


def new_identity() -> Identity:
    """Returns a new identity with a random deployment identifier."""
    return Identity(secrets.token_hex(DEPLOYMENT_ID_BYTES))


def to_record(identity: Identity) -> dict[str, Any]:
    """Returns the stored form of an identity."""
    record: dict[str, Any] = msgspec.to_builtins(identity)
    return record


def from_record(value: Any) -> Identity:
    """Returns the identity in a stored record; raises `InvalidIdentityError` if this version cannot read it."""
    try:
        return msgspec.convert(value, Identity)
    except msgspec.ValidationError as error:
        raise InvalidIdentityError(str(error)) from None
