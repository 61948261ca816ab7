"""Reading and validation of the TOML files for settings and features."""

import tomllib
from typing import TypeVar

import msgspec

StructType = TypeVar("StructType")


class ConfigError(Exception):
    """A file is unreadable or invalid; `reason` names the field or the cause."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def parse_as(struct_type: type[StructType], text: str, error: type[ConfigError]) -> StructType:
    """Converts a file's text to a validated `struct_type`; raises `error`."""
    try:
        return msgspec.convert(tomllib.loads(text), struct_type)
    except tomllib.TOMLDecodeError as failure:
        raise error(f"not valid TOML: {failure}") from None
    except msgspec.ValidationError as failure:
        raise error(str(failure).replace("$.", "")) from None


def read_text(path: str, error: type[ConfigError]) -> str:
    """Returns a file's text; raises `error`."""
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as failure:
        raise error(f"cannot be read: {failure}") from None
