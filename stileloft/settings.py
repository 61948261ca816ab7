"""The settings file, which the platform provides, and its validation."""

from typing import Annotated

from msgspec import Meta, Struct, field

from stileloft.config_file import ConfigError, parse_as, read_text

Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
BYTES_PER_KB = 1024
Address = Annotated[str, Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")]


class SettingsError(ConfigError):
    """The settings file is unreadable or invalid."""


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
    """A team's guaranteed resources and their limits (`*_max`); 0 stands for no guarantee or no limit."""

    name: str
    cpus: NonNegative = 0.0
    cpus_max: NonNegative = 0.0
    gpus: NonNegative = 0.0
    gpus_max: NonNegative = 0.0


class Objective(Struct, frozen=True):
    """A service-level objective: the share of a class's jobs that must start or finish within a time."""

    kind: str
    """`wait`, `finished`, `deadline` or `guarantee`."""
    job_class: str | None = field(name="class", default=None)
    share: float = 0.0
    within_s: float | None = None


class Workers(Struct, frozen=True):
    """Intervals and time-outs of the workers."""

    heartbeat_s: Positive = field(name="report_s")
    """Seconds between two heartbeats of a worker."""
    lease_s: Positive
    """Seconds without a response after which a worker stops its tasks and starts a new epoch."""
    cancel_s: Positive
    """Seconds within which the tasks of a cancelled job must stop."""
    gang_wait_s: Positive = 45.0
    """Seconds after which a gang's task stops waiting for the others and exits."""
    gang_peer_s: Positive = 4.0
    """Seconds in which a gang's tasks detect the loss of one of them, and in which all must receive a stop command."""


class UpcomingLimits(Struct, frozen=True):
    """Upcoming limits of the state service; None leaves the present limit unchanged."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Annotated[int, Meta(ge=4)] | None = None


class State(Struct, frozen=True):
    """Limits of the state service, shared by all controllers."""

    rps: Positive
    """Requests a second, including lease renewals and opened watches."""
    write_rps: Positive
    """Puts and deletes a second."""
    value_kb: Positive
    txn_ops: Annotated[int, Meta(ge=4)]
    """Puts and deletes in one transaction."""
    next: UpcomingLimits = UpcomingLimits()
    """Limits that take effect at an unannounced time; they are therefore observed from the start."""

    def strictest(self) -> "State":
        """Returns the lower of the present and the upcoming value of each limit."""
        upcoming = self.next
        return State(
            min(self.rps, upcoming.rps or self.rps),
            min(self.write_rps, upcoming.write_rps or self.write_rps),
            min(self.value_kb, upcoming.value_kb or self.value_kb),
            min(self.txn_ops, upcoming.txn_ops or self.txn_ops),
        )

    @property
    def value_bytes(self) -> int:
        """Maximum size of a value, in bytes."""
        return int(self.value_kb * BYTES_PER_KB)


class Cloud(Struct, frozen=True):
    """Limits of the cloud, shared by all controllers."""

    rps: Positive
    """Requests a second."""
    list_lag_s: NonNegative
    """Seconds by which the cloud's list of machines may lag behind its actual state."""


class Quota(Struct, frozen=True):
    """Resource limits of a controller's process."""

    cpu: Positive = 1.0
    """Processor time, in cores."""
    ram_mb: Positive = 256.0
    max_sockets: Annotated[int, Meta(ge=32)] = 512


class Deployment(Struct, frozen=True):
    """Settings that all controllers of a deployment share."""

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
    """Maximum deviation of the wall clock from true time, in milliseconds."""


class Settings(Struct, frozen=True):
    """The contents of the settings file: a controller's own settings and those of its deployment."""

    member: str
    """The controller's name."""
    site: str
    listen: Address
    """The address for users, workers and health checks."""
    peer_bind: Address
    """The address for other controllers and for operators."""
    external: External
    deployment: Deployment
    peers: list[Peer] = []


def split_address(address: str) -> tuple[str, int]:
    """Returns the host and the port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def parse(text: str) -> Settings:
    """Returns validated settings from the file's text; raises `SettingsError`. Unknown fields are ignored."""
    settings = parse_as(Settings, text, SettingsError)
    _check_teams(settings.deployment.teams)
    return settings


def _check_teams(teams: list[Team]) -> None:
    """Validates constraints that involve several fields; raises `SettingsError`."""
    for team in teams:
        for guarantee, limit in ((team.cpus, team.cpus_max), (team.gpus, team.gpus_max)):
            if limit and guarantee > limit:
                raise SettingsError(
                    f"deployment.teams: the guarantee of {team.name!r}, {guarantee}, exceeds its limit, {limit}"
                )
    if len({team.name for team in teams}) != len(teams):
        raise SettingsError(f"deployment.teams: a name occurs twice in {[team.name for team in teams]}")


def load(path: str) -> Settings:
    """Returns validated settings from a file; raises `SettingsError`."""
    return parse(read_text(path, SettingsError))
