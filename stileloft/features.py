"""Which features are on: a checked file of its own, beside the settings that the platform hands over."""

from typing import Annotated

from msgspec import Meta, Struct

from stileloft.config_file import ConfigError, parse_as, read_text


class FeaturesError(ConfigError):
    """A features file that cannot be used."""


class RebuildFeature(Struct, frozen=True, forbid_unknown_fields=True):
    """Rebuilding lost state: the state service's records are followed, and written back if they are lost."""

    enabled: bool = False
    follow_s: Annotated[float, Meta(ge=0.05, le=5.0)] = 0.5
    """Changes of the state service are gathered for so long: what is newer may be known to one controller only."""
    directory: str | None = None
    """Where a site has a disk: a folder in which each controller keeps its replica."""
    directory_s: Annotated[float, Meta(ge=1.0, le=3600.0)] = 30.0
    """How often the replica is written there."""
    run_once_classes: list[Annotated[str, Meta(min_length=1)]] = []
    """Classes whose tasks are not repeated unless it is shown that they did not complete."""


class Features(Struct, frozen=True, forbid_unknown_fields=True):
    """All features, each with its own settings; off if nothing is said."""

    rebuild: RebuildFeature = RebuildFeature()


def parse(text: str) -> Features:
    """Checked features from the file's text; raises `FeaturesError`."""
    return parse_as(Features, text, FeaturesError)


def load(path: str) -> Features:
    """Checked features from a file; raises `FeaturesError`."""
    return parse(read_text(path, FeaturesError))
