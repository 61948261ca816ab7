"""The settings file that the platform hands over, checked."""

import tomllib
from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
Address = Annotated[str, Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")]


class SettingsError(Exception):
    """A settings file that cannot be used; the text names the field."""


class Peer(Struct, frozen=True):
    member: str
    address: Address
    site: str = ""


class External(Struct, frozen=True):
    cloud: Address
    state: Address


class Team(Struct, frozen=True):
    """A team's guarantee and limit; 0 stands for none, so no limit in `*_max`."""

    name: str
    cpus: NonNegative = 0.0
    cpus_max: NonNegative = 0.0
    gpus: NonNegative = 0.0
    gpus_max: NonNegative = 0.0


class Objective(Struct, frozen=True):
    kind: str
    job_class: str | None = msgspec.field(name="class", default=None)
    share: float = 0.0
    within_s: float | None = None


class Workers(Struct, frozen=True):
    heartbeat_s: Positive = field(name="report_s")
    lease_s: Positive
    cancel_s: Positive
    gang_wait_s: Positive = 45.0
    """A gang's task gives up when it has waited for the others for so long."""
    gang_peer_s: Positive = 4.0
    """Within this time the tasks of a gang notice that one is lost, or have to be told to stop."""


class Limits(Struct, frozen=True):
    """Limits of the state service to come; what is not named stays."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Annotated[int, Meta(ge=4)] | None = None


class State(Struct, frozen=True):
    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Annotated[int, Meta(ge=4)]
    next: Limits = Limits()
    """They come into force at some moment without notice, so they are kept from the start."""

    def least(self) -> "State":
        """The smaller of the present limits and those to come."""
        after = self.next
        return State(
            min(self.rps, after.rps or self.rps),
            min(self.write_rps, after.write_rps or self.write_rps),
            min(self.value_kb, after.value_kb or self.value_kb),
            min(self.txn_ops, after.txn_ops or self.txn_ops),
        )

    @property
    def value_bytes(self) -> int:
        return int(self.value_kb * 1024)


class Cloud(Struct, frozen=True):
    rps: Positive
    list_lag_s: NonNegative


class Quota(Struct, frozen=True):
    cpu: Positive = 1.0
    ram_mb: Positive = 256.0
    max_sockets: Annotated[int, Meta(ge=32)] = 512


class Deployment(Struct, frozen=True):
    zones: list[str]
    teams: list[Team]
    workers: Workers
    state: State
    cloud: Cloud
    quota: Quota = Quota()
    objectives: list[Objective] = []
    size: Annotated[int, Meta(ge=1)] = 1
    time_bound_ms: NonNegative = 0.0


class Settings(Struct, frozen=True):
    member: str
    site: str
    listen: Address
    peer_bind: Address
    external: External
    deployment: Deployment
    peers: list[Peer] = []


def split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def parse(text: str) -> Settings:
    """Checked settings from the file's text. Unknown fields are ignored."""
    try:
        settings = msgspec.convert(tomllib.loads(text), Settings)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"not TOML: {error}") from None
    except msgspec.ValidationError as error:
        raise SettingsError(str(error).replace("$.", "")) from None
    for team in settings.deployment.teams:
        for low, high in ((team.cpus, team.cpus_max), (team.gpus, team.gpus_max)):
            if high and low > high:
                raise SettingsError(f"deployment.teams: {team.name!r} is guaranteed more than its limit")
    names = [team.name for team in settings.deployment.teams]
    if len(set(names)) != len(names):
        raise SettingsError("deployment.teams: a name occurs twice")
    return settings


def load(path: str) -> Settings:
    try:
        with open(path, encoding="utf-8") as file:
            return parse(file.read())
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"cannot be read: {error}") from None
