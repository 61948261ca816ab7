"""The present version of the program, and the one in production, which nodes of the fakes can run side by side."""

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
"""The last version that writes a record for each chunk of a job."""
LAST_LEGACY = "44d00d66b6fe09e76d986793929825ceb8d86cef"
"""The last version before the packages and names were changed; it writes the same format as this one."""


LEGACY_NAMES = {
    "handle_heartbeat": "report",
    "parse_heartbeat": "parse_report",
    "holds_lease": "confirmed",
    "chunk_size": "size",
    "receive_change_notice": "take_notes",
    "refresh_counts": "recount",
}
"""What earlier versions call the parts that the fakes use, where this version has another name."""


@dataclass(frozen=True)
class Version:
    """What the fakes use of a version of the program."""

    controller_class: Any
    parse_settings: Any
    messages: Any
    connection_failed: Any
    """What its client raises when no connection is made, and when no response comes."""
    no_response: Any
    job_from_record: Any
    records: Any
    is_legacy: bool

    def attribute(self, owner: Any, name: str) -> Any:
        """An attribute under the name that this version has for it."""
        return getattr(owner, LEGACY_NAMES.get(name, name) if self.is_legacy else name)

    def peer_resources(self, controller: Any) -> Any:
        """What answers the requests of a controller's peers."""
        return controller if self.is_legacy else controller.administration

    def handle_heartbeat(self, controller: Any, body: Any) -> Any:
        """A controller's answer to a heartbeat, given as it came on the wire."""
        heartbeat = self.attribute(self.messages, "parse_heartbeat")(body)
        return self.attribute(controller, "handle_heartbeat")(heartbeat)


def _module(package: str, *names: str) -> Any:
    """The first of these modules that a version of the program has."""
    for name in names:
        with contextlib.suppress(ModuleNotFoundError):
            return importlib.import_module(f"{package}.{name}")
    raise ModuleNotFoundError(f"{package} has none of {names}")


def _attribute(owner: Any, *names: str) -> Any:
    """The first of these attributes that there is."""
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
