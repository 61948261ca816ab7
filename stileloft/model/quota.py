"""Quota and fair share: what teams use, what they are guaranteed and how much they may use."""

from dataclasses import dataclass

from stileloft.model.resources import EPSILON
from stileloft.protocol.messages import JobSpec
from stileloft.settings import Team


@dataclass(slots=True)
class QuotaUsage:
    """What a team's tasks take: all that are placed, those on machines that are not heard included."""

    cpus: float = 0.0
    gpus: float = 0.0

    def add(self, cpus: float, gpus: float) -> None:
        """Counts what more tasks take."""
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
    """Whether the team stays within what it is guaranteed with one more task."""
    if team is None or not (team.cpus or team.gpus):
        return False
    return usage.cpus + spec.cpus <= team.cpus + EPSILON and usage.gpus + (spec.gpus or 0.0) <= team.gpus + EPSILON


def exceeds_guarantee(team: Team | None, usage: QuotaUsage) -> bool:
    """Whether the team uses more than it is guaranteed."""
    if team is None:
        return True
    return usage.cpus > team.cpus + EPSILON or usage.gpus > team.gpus + EPSILON


@dataclass(frozen=True, slots=True)
class TeamQuotas:
    """The teams' guarantees and limits, and what each uses; the usage grows as tasks are placed."""

    teams: dict[str, Team]
    usage: dict[str, QuotaUsage]

    def usage_of(self, team: str) -> QuotaUsage:
        """The team's usage, to be read or added to."""
        found = self.usage.get(team)
        if found is None:
            found = self.usage[team] = QuotaUsage()
        return found

    def within_limit(self, spec: JobSpec, count: int = 1) -> bool:
        """Whether `count` more tasks of a job keep its team within its limit."""
        return within_limit(spec, self.teams.get(spec.team), self.usage_of(spec.team), count)

    def within_guarantee(self, spec: JobSpec) -> bool:
        """Whether one more task of a job keeps its team within its guarantee."""
        return within_guarantee(spec, self.teams.get(spec.team), self.usage_of(spec.team))

    def exceeds_guarantee(self, team: str) -> bool:
        """Whether a team uses more than it is guaranteed."""
        return exceeds_guarantee(self.teams.get(team), self.usage_of(team))
