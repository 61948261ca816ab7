"""Quotas and fair shares: the usage, guarantees and limits of teams."""

from dataclasses import dataclass

from stileloft.model.resources import EPSILON
from stileloft.protocol.messages import JobSpec
from stileloft.settings import Team


@dataclass(slots=True)
class QuotaUsage:
    """Resources used by a team's placed tasks, including those on silent machines."""

    cpus: float = 0.0
    gpus: float = 0.0

    def add(self, cpus: float, gpus: float) -> None:
        """Adds the resources of further tasks."""
        self.cpus += cpus
        self.gpus += gpus


def within_limit(spec: JobSpec, team: Team | None, usage: QuotaUsage, count: int = 1) -> bool:
    """Whether `count` more tasks of a job keep the team within its limit."""
    if team is None:
        return False
    cpus = usage.cpus + (count - 1) * spec.cpus + spec.cpus
    if team.cpus_max and cpus > team.cpus_max + EPSILON:
        return False
    gpus_per_task = spec.gpus or 0.0
    gpus = usage.gpus + (count - 1) * gpus_per_task + gpus_per_task
    return not (team.gpus_max and gpus > team.gpus_max + EPSILON)


def within_guarantee(spec: JobSpec, team: Team | None, usage: QuotaUsage) -> bool:
    """Whether the team stays within its guarantee with one more task."""
    if team is None or not (team.cpus or team.gpus):
        return False
    return usage.cpus + spec.cpus <= team.cpus + EPSILON and usage.gpus + (spec.gpus or 0.0) <= team.gpus + EPSILON


def exceeds_guarantee(team: Team | None, usage: QuotaUsage) -> bool:
    """Whether the team uses more than its guarantee."""
    if team is None:
        return True
    return usage.cpus > team.cpus + EPSILON or usage.gpus > team.gpus + EPSILON


@dataclass(frozen=True, slots=True)
class TeamQuotas:
    """The teams' guarantees, limits and usage; the usage is updated as tasks are placed."""

    teams: dict[str, Team]
    usage: dict[str, QuotaUsage]

    def usage_of(self, team: str) -> QuotaUsage:
        """Returns the team's usage, which callers may add to."""
        usage = self.usage.get(team)
        if usage is None:
            usage = self.usage[team] = QuotaUsage()
        return usage

    def within_limit(self, spec: JobSpec, count: int = 1) -> bool:
        """Whether `count` more tasks of a job keep its team within its limit."""
        return within_limit(spec, self.teams.get(spec.team), self.usage_of(spec.team), count)

    def within_guarantee(self, spec: JobSpec) -> bool:
        """Whether one more task of a job keeps its team within its guarantee."""
        return within_guarantee(spec, self.teams.get(spec.team), self.usage_of(spec.team))

    def exceeds_guarantee(self, team: str) -> bool:
        """Whether a team uses more than its guarantee."""
        return exceeds_guarantee(self.teams.get(team), self.usage_of(team))
