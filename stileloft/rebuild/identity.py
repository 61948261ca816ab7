"""The record that tells one deployment's store from another's, and from an empty one."""

import secrets
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct


class InvalidIdentityError(Exception):
    """The record is not one that this version can read."""


class Identity(Struct, frozen=True, omit_defaults=True):
    """Whose store it is, and how often it was rebuilt."""

    deployment: Annotated[str, Meta(min_length=8, max_length=64)]
    generation: Annotated[int, Meta(ge=1)] = 1
    """One more with each rebuild."""
    token_base: Annotated[int, Meta(ge=0)] = 0
    """Tokens are this plus the version of the leader key: versions begin again in a wiped store, tokens must not."""
    rebuilding: bool = False
    """Its records are being written back: what is missing may only not have been written yet."""
    unheard: tuple[str, ...] = ()
    """Controllers whose replicas the rebuild could not read: what is missing may be known to them."""


def new_identity() -> Identity:
    """The identity of a deployment that has none."""
    return Identity(secrets.token_hex(8))


def to_record(identity: Identity) -> dict[str, Any]:
    """The record as it is stored."""
    record: dict[str, Any] = msgspec.to_builtins(identity)
    return record


def from_record(value: Any) -> Identity:
    """The identity that a record tells."""
    try:
        return msgspec.convert(value, Identity)
    except msgspec.ValidationError as error:
        raise InvalidIdentityError(str(error)) from None
