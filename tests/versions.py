"""Versions of the program: the current one, and older ones from the repository's history.

Controllers of a simulated cluster can run different versions side by side.
"""

import contextlib
import functools
import importlib
import io
import re
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
LAST_FORMAT_1 = "7f751773ace7bdb78fec4f9818b2ebda927dfa76"
"""The last version that writes a record of its own for each chunk of a job."""
LAST_LEGACY = "44d00d66b6fe09e76d986793929825ceb8d86cef"
"""The last version with the old package layout and names; it writes the same record format as the current version."""


LEGACY_NAMES = {
    "handle_heartbeat": "report",
    "parse_heartbeat": "parse_report",
    "holds_lease": "confirmed",
    "chunk_size": "size",
    "receive_change_notice": "take_notes",
    "refresh_counts": "recount",
}
"""Current names of attributes that the fakes use, each with its name in versions up to `LAST_LEGACY`."""


@dataclass(frozen=True)
class Version:
    """The parts of one version of the program that the fakes use."""

    controller_class: Any
    parse_settings: Any
    messages: Any
    connection_failed: Any
    """The error of its HTTP client if no connection is made."""
    no_response: Any
    """The error of its HTTP client if no response arrives."""
    job_from_record: Any
    records: Any
    is_legacy: bool
    """Whether attributes have the names of `LEGACY_NAMES`."""

    def attribute(self, owner: Any, name: str) -> Any:
        """Returns an attribute by its current name, whatever this version calls it."""
        return getattr(owner, LEGACY_NAMES.get(name, name) if self.is_legacy else name)

    def peer_resources(self, controller: Any) -> Any:
        """Returns the object that answers the requests of a controller's peers."""
        return controller if self.is_legacy else controller.administration

    def handle_heartbeat(self, controller: Any, body: Any) -> Any:
        """Returns a controller's answer to a heartbeat; `body` is the decoded message."""
        heartbeat = self.attribute(self.messages, "parse_heartbeat")(body)
        return self.attribute(controller, "handle_heartbeat")(heartbeat)


def _module(package: str, *names: str) -> Any:
    """Returns the first of these modules that exists in the package; raises `ModuleNotFoundError` if none does."""
    for name in names:
        with contextlib.suppress(ModuleNotFoundError):
            return importlib.import_module(f"{package}.{name}")
    raise ModuleNotFoundError(f"{package} has none of {names}")


def _attribute(owner: Any, *names: str) -> Any:
    """Returns the first of these attributes that exists."""
    return next(getattr(owner, name) for name in names if hasattr(owner, name))


def _version(package: str) -> Version:
    controller = _module(package, "controller.controller", "coordination.node")
    client = _module(package, "transport.client")
    return Version(
        controller_class=_attribute(controller, "Controller", "Node"),
        parse_settings=_module(package, "settings").parse,
        messages=_module(package, "protocol.messages"),
        connection_failed=_attribute(client, "ConnectionFailedError", "Refused"),
        no_response=_attribute(client, "NoResponseError", "Unanswered"),
        job_from_record=_module(package, "model.job_records", "model.jobs", "bookkeeping.model").job_from_record,
        records=_module(package, "model.records", "bookkeeping.records"),
        is_legacy=hasattr(controller, "Node"),
    )


CURRENT = _version("stileloft")


def production() -> Version | None:
    """Returns the version in production, from the repository's history; None if the checkout lacks that commit."""
    return from_history(tomllib.loads((ROOT / "deploy/service.toml").read_text())["production"])


@functools.cache
def from_history(commit: str) -> Version | None:
    """Returns the version of a commit, loaded under its own package name; None if the checkout lacks that commit."""
    try:
        archived = subprocess.run(["git", "-C", str(ROOT), "archive", commit, "stileloft"], capture_output=True)
    except OSError:
        return None
    if archived.returncode:
        return None
    package = f"stileloft_{commit[:8]}"
    folder = Path(tempfile.mkdtemp())
    with tarfile.open(fileobj=io.BytesIO(archived.stdout)) as archive:
        for member in archive.getmembers():
            source = archive.extractfile(member) if member.name.endswith(".py") else None
            if source is not None:
                # A package name for each commit, so that several versions can be loaded.
                path = folder / member.name.replace("stileloft", package, 1)
                path.parent.mkdir(parents=True, exist_ok=True)
                path.write_text(re.sub(r"\bstileloft\b", package, source.read().decode()))
    sys.path.append(str(folder))
    return _version(package)
