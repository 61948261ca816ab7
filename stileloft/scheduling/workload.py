"""Statistics of job classes: run times, arrivals, and the headroom that expected jobs need."""

import enum
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from stileloft.model.machines import fits_type
from stileloft.model.nominations import EXPECTED_JOB_ID
from stileloft.protocol.admin import OperatorSettings
from stileloft.protocol.messages import JobSpec, MachineType
from stileloft.scheduling.scaling_criteria import shortest_boot_s, time_to_ready_s
from stileloft.scheduling.snapshot import ExpectedTasks
from stileloft.settings import Objective

MOVING_MEAN_WEIGHT = 0.2
"""Weight of the newest observation in an exponential moving average."""
UNSEEN_CLASS_TASKS = 3
"""Headroom for a class that has a start objective but no job yet, in tasks, one per machine.

With it, the first gangs of the class can start while more machines boot.
"""
ENDED_AFTER_INTERARRIVALS = 4.0
"""A class counts as ended after no submission for this many of its mean interarrival times."""
BASELINE_ARRIVALS_PER_BOOT = 2.0
"""Arrivals per boot time up to which the operators' headroom factor applies unchanged."""
MIN_RUN_TIME_RATIO, MAX_RUN_TIME_RATIO = 0.1, 4.0
"""Bounds of the ratio of run time to estimate, so that a single outlier does not distort later estimates."""
MIN_ESTIMATE_S = 0.5
MAX_ESTIMATE_S = 1e9
"""Longer estimates count as this many seconds, so that sums and products of times stay finite."""
MIN_INTERARRIVAL_S = 0.1


class ObjectiveKind(enum.StrEnum):
    """The time that a service-level objective bounds; the values are those of the settings."""

    START = "wait"
    COMPLETION = "finished"


@dataclass(slots=True)
class ClassStatistics:
    """Size and arrival statistics of a job class."""

    spec: JobSpec
    """Specification of the newest job."""
    mean_tasks: float
    last_submitted_at: float
    mean_interarrival_s: float = 0.0
    """0 until a second job has been submitted."""

    def add(self, spec: JobSpec, submitted_at: float) -> None:
        """Updates the statistics with one more job of the class."""
        interarrival_s = max(0.0, submitted_at - self.last_submitted_at)
        if self.mean_interarrival_s == 0.0:
            self.mean_interarrival_s = interarrival_s
        else:
            self.mean_interarrival_s = _moving_mean(self.mean_interarrival_s, interarrival_s)
        self.mean_tasks = _moving_mean(self.mean_tasks, spec.tasks)
        self.spec = spec
        self.last_submitted_at = max(self.last_submitted_at, submitted_at)

    def has_ended(self, now: float) -> bool:
        """Whether no job of the class was submitted for so long that the class counts as ended."""
        return now - self.last_submitted_at > ENDED_AFTER_INTERARRIVALS * max(
            self.mean_interarrival_s, self.spec.estimate_s
        )


def _moving_mean(mean: float, newest: float) -> float:
    return mean + MOVING_MEAN_WEIGHT * (newest - mean)


class Workload:
    """Statistics of the job classes that one leader has seen, and the headroom that follows from them."""

    def __init__(
        self,
        objectives: Iterable[Objective],
        wall_clock: Callable[[], float],
        types: Callable[[], dict[str, MachineType]],
    ) -> None:
        self._wall_clock = wall_clock
        self._types = types
        self._ratios: dict[str, float] = {}
        """Moving average of the ratio of run time to estimate, by class."""
        self.classes: dict[str, ClassStatistics] = {}
        self.start_objectives = self._tightest(objectives, ObjectiveKind.START)
        self.completion_objectives = self._tightest(objectives, ObjectiveKind.COMPLETION)

    @staticmethod
    def _tightest(objectives: Iterable[Objective], kind: ObjectiveKind) -> dict[str, float]:
        """Returns the shortest time in seconds of each class that has an objective of this kind."""
        tightest: dict[str, float] = {}
        for objective in objectives:
            if objective.kind == kind and objective.job_class and objective.within_s is not None:
                shortest_s = tightest.get(objective.job_class, objective.within_s)
                tightest[objective.job_class] = min(shortest_s, objective.within_s)
        return tightest

    def has_active_classes(self) -> bool:
        """Whether any class still counts as submitting jobs."""
        now = self._wall_clock()
        return any(not statistics.has_ended(now) for statistics in self.classes.values())

    def record_run_time(self, spec: JobSpec, run_time_s: float) -> None:
        """Corrects later estimates of the class by the run time of a completed task."""
        ratio = min(MAX_RUN_TIME_RATIO, max(MIN_RUN_TIME_RATIO, run_time_s / spec.estimate_s))
        self._ratios[spec.job_class] = _moving_mean(self._ratios.get(spec.job_class, 1.0), ratio)

    def estimated_run_time_s(self, spec: JobSpec) -> float:
        """Returns a task's expected run time in seconds: the job's estimate corrected by its class's run times."""
        estimate_s = spec.estimate_s * self._ratios.get(spec.job_class, 1.0)
        return max(MIN_ESTIMATE_S, min(estimate_s, MAX_ESTIMATE_S))

    def record_submission(self, spec: JobSpec, submitted_at: float) -> None:
        """Updates the statistics of the job's class."""
        statistics = self.classes.get(spec.job_class)
        if statistics is None:
            self.classes[spec.job_class] = ClassStatistics(spec, float(spec.tasks), submitted_at)
        else:
            statistics.add(spec, submitted_at)

    def headroom(self, gang: bool, settings: OperatorSettings, include_unseen: bool = False) -> list[ExpectedTasks]:
        """Returns expected tasks of the classes that cannot wait for a machine to boot, the highest rank first.

        `gang` selects classes of gangs or of other jobs. `include_unseen` adds the classes with a start objective that
        have had no job yet.
        """
        now = self._wall_clock()
        expected_tasks = [
            ExpectedTasks(statistics.spec, self._headroom_tasks(job_class, statistics, settings))
            for job_class, statistics in sorted(self.classes.items())
            if statistics.spec.is_gang is gang and not statistics.has_ended(now)
        ]
        if include_unseen:
            expected_tasks += [ExpectedTasks(spec, UNSEEN_CLASS_TASKS) for spec in self._unseen_classes()]
        expected_tasks.sort(key=lambda expected: -expected.spec.rank)
        return expected_tasks

    def _headroom_tasks(self, job_class: str, statistics: ClassStatistics, settings: OperatorSettings) -> int:
        """Returns the number of tasks of a class to keep headroom for."""
        if job_class in self.start_objectives:
            factor = settings.headroom_wait
        else:
            factor = settings.headroom if self._slack_s(statistics.spec) < 0 else 0.0
        return math.ceil(factor * self._burst_factor(statistics) * statistics.mean_tasks)

    def _unseen_classes(self) -> list[JobSpec]:
        """Returns a stand-in job for each class with a start objective and no job yet.

        The stand-in is a gang of one task that fills the cheapest machine type and allows no spot instance: the class
        may turn out to consist of gangs, which preempt nothing, or to exclude spot instances, and its first jobs would
        then wait for a boot.
        """
        machine_type = min(
            self._types().values(),
            key=lambda machine_type: (machine_type.price, machine_type.name),
            default=None,
        )
        if machine_type is None:
            return []
        return [
            JobSpec(
                id=EXPECTED_JOB_ID,
                job_class=job_class,
                team="",
                kind="gang",
                priority="standard",
                tasks=1,
                cpus=machine_type.cpus,
                gpus=machine_type.gpus,
                memory_gb=machine_type.memory_gb,
                image="",
                image_gb=0.0,
                estimate_s=0.0,
            )
            for job_class in self.start_objectives
            if job_class not in self.classes
        ]

    def _burst_factor(self, statistics: ClassStatistics) -> float:
        """Returns the factor, at least 1, by which headroom grows for a class with many arrivals per boot time.

        The number of arrivals in a boot time varies by about its square root, and the factor grows with that root.
        """
        boot_s = shortest_boot_s(statistics.spec, self._types().values())
        return max(
            1.0,
            math.sqrt(boot_s / max(statistics.mean_interarrival_s, MIN_INTERARRIVAL_S) / BASELINE_ARRIVALS_PER_BOOT),
        )

    def _slack_s(self, spec: JobSpec) -> float:
        """Returns the seconds that a new job with this specification can wait before a machine must be provisioned.

        The result is negative if the job would be late even on a machine provisioned at its submission. For a job
        without a deadline or an objective on completion, the result is the time in which a new machine becomes ready.
        The result is 0 if no machine type fits.
        """
        machine_types = [machine_type for machine_type in self._types().values() if fits_type(spec, machine_type)]
        if not machine_types:
            return 0.0
        ready_s = time_to_ready_s(spec, machine_types)
        objective_s = self.completion_objectives.get(spec.job_class)
        limits = [limit for limit in (spec.deadline_s, objective_s) if limit is not None]
        return min(limits) - self.estimated_run_time_s(spec) - ready_s if limits else ready_s
