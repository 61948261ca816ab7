"""The feasibility check: whether a job could run on an empty cluster."""

from stileloft.jobs.errors import RetryLaterError
from stileloft.machines.catalog import MachineCatalog
from stileloft.model import records
from stileloft.model.job_records import active_record
from stileloft.model.machines import fits_type
from stileloft.protocol.messages import JobSpec, MachineType
from stileloft.settings import Team

SPEC_TOO_LARGE = "its description is too long to be stored"


class FeasibilityCheck:
    """Checks submissions against quotas, machine types and the limits of the store."""

    def __init__(self, teams: dict[str, Team], catalog: MachineCatalog, max_value_bytes: int) -> None:
        """`max_value_bytes`: the lowest announced limit of the store on the size of a value, in bytes."""
        self._teams = teams
        self._catalog = catalog
        self._max_value_bytes = max_value_bytes

    def infeasibility_reason(self, spec: JobSpec) -> str | None:
        """Returns why the job can never run, or None if it can.

        Raises `RetryLaterError` until the machine types are known.
        """
        if not self._catalog.types:
            raise RetryLaterError("the machine types are not known yet")
        return infeasibility_reason(spec, self._teams, self._catalog.types, self._max_value_bytes)


def infeasibility_reason(
    spec: JobSpec, teams: dict[str, Team], types: dict[str, MachineType], max_value_bytes: int
) -> str | None:
    """Returns why a job can never run, or None if it can. A temporary shortage is no reason."""
    team = teams.get(spec.team)
    if team is None:
        return f"unknown team {spec.team!r}"
    if not any(fits_type(spec, kind) for kind in types.values()):
        return "a task fits no allowed machine type"
    if _exceeds_quota(spec, team):
        return "what has to run at once needs more than the team's limit"
    if spec.is_gang and spec.spread and spec.tasks > 1 and not _can_spread(spec, types):
        return "half of its tasks would have to be in another zone, and all of them run at once"
    if records.json_bytes(active_record(spec, 0.0, spec.tasks)) + records.JOB_PROGRESS_BYTES > max_value_bytes:
        return SPEC_TOO_LARGE
    return None


def _exceeds_quota(spec: JobSpec, team: Team) -> bool:
    """Whether the tasks that have to run at the same time need more than the team's quota."""
    at_once = 1 if spec.kind == "array" else spec.tasks
    exceeds_cpus = team.cpus_max and at_once * spec.cpus > team.cpus_max
    exceeds_gpus = team.gpus_max and at_once * (spec.gpus or 0) > team.gpus_max
    return bool(exceeds_cpus or exceeds_gpus)


def _can_spread(spec: JobSpec, types: dict[str, MachineType]) -> bool:
    """Whether the job may use several zones, and several zones have machine types that fit it."""
    zones = {zone for kind in types.values() if fits_type(spec, kind) for zone in kind.zones}
    return not spec.one_zone and spec.zone is None and len(zones) > 1
