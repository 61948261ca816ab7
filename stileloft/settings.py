"""The settings file that the platform hands over, checked."""

from typing import Annotated

from msgspec import Meta, Struct, field

from stileloft.config_file import ConfigError, parse_as, read_text

Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
BYTES_PER_KB = 1024
Address = Annotated[str, Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")]


class SettingsError(ConfigError):
    """A settings file that cannot be used."""


class Peer(Struct, frozen=True):
    """Another controller."""

    member: str
    address: Address
    site: str = ""


class External(Struct, frozen=True):
    """Addresses of the services that the controllers use."""

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
    """A service-level objective: a share of the jobs of a class that has to start or finish in time."""

    kind: str
    """`wait`, `finished`, `deadline` or `guarantee`."""
    job_class: str | None = field(name="class", default=None)
    share: float = 0.0
    within_s: float | None = None


class Workers(Struct, frozen=True):
    """Times that the workers keep to."""

    heartbeat_s: Positive = field(name="report_s")
    """Between two heartbeats of a worker."""
    lease_s: Positive
    """A worker that gets no answer for so long ends its tasks, and begins a new epoch."""
    cancel_s: Positive
    """A cancelled job's tasks have to end within this time."""
    gang_wait_s: Positive = 45.0
    """A gang's task gives up when it has waited for the others for so long."""
    gang_peer_s: Positive = 4.0
    """Within this time the tasks of a gang notice that one is lost, or have to be told to stop."""


class UpcomingLimits(Struct, frozen=True):
    """Limits that the state service will have; what is not named stays."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Annotated[int, Meta(ge=4)] | None = None


class State(Struct, frozen=True):
    """Limits of the state service, for all controllers together."""

    rps: Positive
    """Requests a second; renewals of leases and opened watches count."""
    write_rps: Positive
    """Puts and deletes a second."""
    value_kb: Positive
    txn_ops: Annotated[int, Meta(ge=4)]
    """Puts and deletes in one transaction."""
    next: UpcomingLimits = UpcomingLimits()
    """They come into force at some moment without notice, so they are kept from the start."""

    def strictest(self) -> "State":
        """The smaller of the present limits and the upcoming ones."""
        upcoming = self.next
        return State(
            min(self.rps, upcoming.rps or self.rps),
            min(self.write_rps, upcoming.write_rps or self.write_rps),
            min(self.value_kb, upcoming.value_kb or self.value_kb),
            min(self.txn_ops, upcoming.txn_ops or self.txn_ops),
        )

    @property
    def value_bytes(self) -> int:
        """The largest value."""
        return int(self.value_kb * BYTES_PER_KB)


class Cloud(Struct, frozen=True):
    """Limits of the cloud, for all controllers together."""

    rps: Positive
    """Requests a second."""
    list_lag_s: NonNegative
    """How old its list of machines may be."""


class Quota(Struct, frozen=True):
    """What a controller's process may use."""

    cpu: Positive = 1.0
    """As a share of a core."""
    ram_mb: Positive = 256.0
    max_sockets: Annotated[int, Meta(ge=32)] = 512


class Deployment(Struct, frozen=True):
    """What all controllers of a deployment have in common."""

    zones: list[str]
    teams: list[Team]
    workers: Workers
    state: State
    cloud: Cloud
    quota: Quota = Quota()
    objectives: list[Objective] = []
    size: Annotated[int, Meta(ge=1)] = 1
    """The number of controllers."""
    time_bound_ms: NonNegative = 0.0
    """How far the wall clock may be from true time."""


class Settings(Struct, frozen=True):
    """The whole file: a controller's own settings, and those of its deployment."""

    member: str
    """The controller's name."""
    site: str
    listen: Address
    """Where users, workers and health checks find it."""
    peer_bind: Address
    """Where other controllers and its operators find it."""
    external: External
    deployment: Deployment
    peers: list[Peer] = []


def split_address(address: str) -> tuple[str, int]:
    """The host and the port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def parse(text: str) -> Settings:
    """Checked settings from the file's text; raises `SettingsError`. Unknown fields are ignored."""
    settings = parse_as(Settings, text, SettingsError)
    _check_teams(settings.deployment.teams)
    return settings


def _check_teams(teams: list[Team]) -> None:
    """What no single field can tell."""
    for team in teams:
        for guarantee, limit in ((team.cpus, team.cpus_max), (team.gpus, team.gpus_max)):
            if limit and guarantee > limit:
                raise SettingsError(f"deployment.teams: {team.name!r} is guaranteed more than its limit")
    if len({team.name for team in teams}) != len(teams):
        raise SettingsError("deployment.teams: a name occurs twice")


def load(path: str) -> Settings:
    """Checked settings from a file; raises `SettingsError`."""
    return parse(read_text(path, SettingsError))
