"""The features file, which is separate from the settings file that the platform provides."""

from typing import Annotated

from msgspec import Meta, Struct

from stileloft.config_file import ConfigError, parse_as, read_text


class FeaturesError(ConfigError):
    """The features file is unreadable or invalid."""


class RebuildFeature(Struct, frozen=True, forbid_unknown_fields=True):
    """Rebuilding of lost state: each controller replicates the state service's records and restores lost ones."""

    enabled: bool = False
    follow_s: Annotated[float, Meta(ge=0.05, le=5.0)] = 0.5
    """Seconds for which a replica batches the store's changes; a newer change may be known to one controller only."""
    directory: str | None = None
    """A directory in which each controller saves its replica, at sites that have a disk; None for no saving."""
    directory_s: Annotated[float, Meta(ge=1.0, le=3600.0)] = 30.0
    """Seconds between two writes of the replica to `directory`."""
    run_once_classes: list[Annotated[str, Meta(min_length=1)]] = []
    """Classes whose tasks are run again only if there is proof that they did not complete."""


class Features(Struct, frozen=True, forbid_unknown_fields=True):
    """All features with their settings; a feature that is not configured is off."""

    rebuild: RebuildFeature = RebuildFeature()


def parse(text: str) -> Features:
    """Returns validated features from the file's text; raises `FeaturesError`."""
    return parse_as(Features, text, FeaturesError)


def load(path: str) -> Features:
    """Returns validated features from a file; raises `FeaturesError`."""
    return parse(read_text(path, FeaturesError))
