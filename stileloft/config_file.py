"""Reading and checking of TOML files: the settings and the features."""

import tomllib
from typing import TypeVar

import msgspec

Shape = TypeVar("Shape")


class ConfigError(Exception):
    """A file that cannot be used; `reason` names the field."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def parse_as(shape: type[Shape], text: str, error: type[ConfigError]) -> Shape:
    """A file's text in its checked form; raises the given error."""
    try:
        return msgspec.convert(tomllib.loads(text), shape)
    except tomllib.TOMLDecodeError as failure:
        raise error(f"not TOML: {failure}") from None
    except msgspec.ValidationError as failure:
        raise error(str(failure).replace("$.", "")) from None


def read_text(path: str, error: type[ConfigError]) -> str:
    """A file's text; raises the given error."""
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as failure:
        raise error(f"cannot be read: {failure}") from None
