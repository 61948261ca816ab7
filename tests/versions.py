"""This version of the program, and the one in production, which nodes of the stand-ins can run side by side."""

import functools
import importlib
import io
import re
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).parent.parent
LAST_FORMAT_1 = "7f751773ace7bdb78fec4f9818b2ebda927dfa76"
"""The last version that writes a record for each chunk of a job."""


class Version(NamedTuple):
    """What the stand-ins use of a version of the program."""

    Node: Any
    parse: Any
    messages: Any
    connection_failed: Any
    """What its client raises when no connection is made, and when no response comes."""
    no_response: Any
    model: Any
    records: Any


def _exception(module: Any, name: str, name_in_production: str) -> Any:
    """An exception of a version of the program, under the name that this version has for it."""
    return getattr(module, name, None) or getattr(module, name_in_production)


def _version(package: str) -> Version:
    def module(name: str) -> Any:
        return importlib.import_module(f"{package}.{name}")

    return Version(
        module("coordination.node").Node,
        module("settings").parse,
        module("protocol.messages"),
        _exception(module("transport.client"), "ConnectionFailedError", "Refused"),
        _exception(module("transport.client"), "NoResponseError", "Unanswered"),
        module("bookkeeping.model"),
        module("bookkeeping.records"),
    )


NEW = _version("stileloft")


def production() -> Version | None:
    """The version in production, from the repository's history; None in a checkout without it."""
    return from_history(tomllib.loads((ROOT / "deploy/service.toml").read_text())["production"])


@functools.cache
def from_history(commit: str) -> Version | None:
    """The version of a commit, loaded under a package name of its own; None in a checkout without it."""
    try:
        done = subprocess.run(["git", "-C", str(ROOT), "archive", commit, "stileloft"], capture_output=True)
    except OSError:
        return None
    if done.returncode:
        return None
    package = f"stileloft_{commit[:8]}"
    folder = Path(tempfile.mkdtemp())
    with tarfile.open(fileobj=io.BytesIO(done.stdout)) as archive:
        for member in archive.getmembers():
            source = archive.extractfile(member) if member.name.endswith(".py") else None
            if source is not None:
                # Under another name, so that several can be loaded.
                path = folder / member.name.replace("stileloft", package, 1)
                path.parent.mkdir(parents=True, exist_ok=True)
                path.write_text(re.sub(r"\bstileloft\b", package, source.read().decode()))
    sys.path.append(str(folder))
    return _version(package)
