"""What the classes of jobs are like, how often they come, and what room they will need."""

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

# Weight of the newest observation in a moving mean.
MOVING_MEAN_WEIGHT = 0.2
# Machines kept for a class that is to start soon and has not been seen: some gangs come while more are booting.
UNSEEN_CLASS_TASKS = 3
# A class is taken to have ended when nothing came for this many of its usual gaps.
ENDED_AFTER_INTERARRIVALS = 4.0
# The headroom that operators set is for classes of which so many jobs come in a boot time.
BASELINE_ARRIVALS_PER_BOOT = 2.0
# Bounds of the ratio of a run time to its estimate, so that one odd job does not mislead.
MIN_RUN_TIME_RATIO, MAX_RUN_TIME_RATIO = 0.1, 4.0
MIN_ESTIMATE_S = 0.5
MIN_INTERARRIVAL_S = 0.1


class ObjectiveKind(enum.StrEnum):
    """Which time a service-level objective bounds, by the settings' names."""

    START = "wait"
    COMPLETION = "finished"


@dataclass(slots=True)
class ClassStatistics:
    """What a class's jobs are like, and how often they come."""

    spec: JobSpec
    """The newest job."""
    mean_tasks: float
    last_submitted_at: float
    mean_interarrival_s: float = 0.0

    def add(self, spec: JobSpec, submitted_at: float) -> None:
        """Takes in one more job of the class."""
        interarrival_s = max(0.0, submitted_at - self.last_submitted_at)
        if self.mean_interarrival_s == 0.0:
            self.mean_interarrival_s = interarrival_s
        else:
            self.mean_interarrival_s = _moving_mean(self.mean_interarrival_s, interarrival_s)
        self.mean_tasks = _moving_mean(self.mean_tasks, spec.tasks)
        self.spec = spec
        self.last_submitted_at = max(self.last_submitted_at, submitted_at)

    def has_ended(self, now: float) -> bool:
        """Whether the class has sent nothing for so long that it is taken to have ended."""
        return now - self.last_submitted_at > ENDED_AFTER_INTERARRIVALS * max(
            self.mean_interarrival_s, self.spec.estimate_s
        )


def _moving_mean(mean: float, newest: float) -> float:
    return mean + MOVING_MEAN_WEIGHT * (newest - mean)


class Workload:
    """Statistics of the classes of jobs that one leader has seen."""

    def __init__(
        self,
        objectives: Iterable[Objective],
        wall_clock: Callable[[], float],
        types: Callable[[], dict[str, MachineType]],
    ) -> None:
        self._wall_clock = wall_clock
        self._types = types
        self._ratios: dict[str, float] = {}
        """Run time to estimate, by class."""
        self.classes: dict[str, ClassStatistics] = {}
        self.start_objectives = self._tightest(objectives, ObjectiveKind.START)
        self.completion_objectives = self._tightest(objectives, ObjectiveKind.COMPLETION)

    @staticmethod
    def _tightest(objectives: Iterable[Objective], kind: ObjectiveKind) -> dict[str, float]:
        """The tightest time of each class that has an objective of this kind."""
        tightest: dict[str, float] = {}
        for objective in objectives:
            if objective.kind == kind and objective.job_class and objective.within_s is not None:
                known = tightest.get(objective.job_class, objective.within_s)
                tightest[objective.job_class] = min(known, objective.within_s)
        return tightest

    def has_active_classes(self) -> bool:
        """Whether jobs of some class are still coming."""
        now = self._wall_clock()
        return any(not statistics.has_ended(now) for statistics in self.classes.values())

    def record_run_time(self, spec: JobSpec, run_time_s: float) -> None:
        """Corrects later estimates of the class by a completed task's run time."""
        ratio = min(MAX_RUN_TIME_RATIO, max(MIN_RUN_TIME_RATIO, run_time_s / spec.estimate_s))
        self._ratios[spec.job_class] = _moving_mean(self._ratios.get(spec.job_class, 1.0), ratio)

    def estimated_run_time_s(self, spec: JobSpec) -> float:
        """Seconds a task is likely to run: the owner's estimate, corrected by what the class has shown."""
        return max(MIN_ESTIMATE_S, spec.estimate_s * self._ratios.get(spec.job_class, 1.0))

    def record_submission(self, spec: JobSpec, submitted_at: float) -> None:
        """Keeps what a class's jobs are like and how often they come, for headroom."""
        statistics = self.classes.get(spec.job_class)
        if statistics is None:
            self.classes[spec.job_class] = ClassStatistics(spec, float(spec.tasks), submitted_at)
        else:
            statistics.add(spec, submitted_at)

    def headroom(self, gang: bool, settings: OperatorSettings, include_unseen: bool = False) -> list[ExpectedTasks]:
        """Tasks that should find room at once: of classes for which a new machine would come too late.

        With `include_unseen`, room is kept for classes too of which nothing has come yet.
        """
        now = self._wall_clock()
        found = [
            ExpectedTasks(statistics.spec, self._headroom_tasks(job_class, statistics, settings))
            for job_class, statistics in sorted(self.classes.items())
            if statistics.spec.is_gang is gang and not statistics.has_ended(now)
        ]
        if include_unseen:
            found += [ExpectedTasks(spec, UNSEEN_CLASS_TASKS) for spec in self._unseen_classes()]
        found.sort(key=lambda expected: -expected.spec.rank)
        return found

    def _headroom_tasks(self, job_class: str, statistics: ClassStatistics, settings: OperatorSettings) -> int:
        """For how many tasks of a class room is to be kept."""
        if job_class in self.start_objectives:
            factor = settings.headroom_wait
        else:
            factor = settings.headroom if self._slack_s(statistics.spec) < 0 else 0.0
        return math.ceil(factor * self._burst_factor(statistics) * statistics.mean_tasks)

    def _unseen_classes(self) -> list[JobSpec]:
        """Small on-demand machines for each class that is to start soon and of which nothing has come.

        It may turn out to be one of gangs, which preempt nothing, or one that may use no spot instance, and its
        first jobs would wait for a boot.
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
        """What arrives in a boot time varies by its root: more room for classes of which many jobs come in one."""
        boot_s = shortest_boot_s(statistics.spec, self._types().values())
        return max(
            1.0,
            math.sqrt(boot_s / max(statistics.mean_interarrival_s, MIN_INTERARRIVAL_S) / BASELINE_ARRIVALS_PER_BOOT),
        )

    def _slack_s(self, spec: JobSpec) -> float:
        """How long a new job like this may wait before a machine is provisioned for it, at the least."""
        machine_types = [machine_type for machine_type in self._types().values() if fits_type(spec, machine_type)]
        if not machine_types:
            return 0.0
        ready_s = time_to_ready_s(spec, machine_types)
        objective_s = self.completion_objectives.get(spec.job_class)
        limits = [limit for limit in (spec.deadline_s, objective_s) if limit is not None]
        return min(limits) - self.estimated_run_time_s(spec) - ready_s if limits else ready_s
