"""What the classes of jobs are like, how often they come, and what room they will need."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from stileloft.model.machines import fits_type
from stileloft.protocol.admin import OperatorSettings
from stileloft.protocol.messages import JobSpec, MachineType
from stileloft.scheduling import gangs
from stileloft.settings import Objective

# Weight of the newest observation in a moving mean.
CLASS_MEMORY = 0.2
# Machines kept for a class that is to start soon and has not been seen: some gangs come while more are booting.
UNSEEN_MACHINES = 3
# A class is taken to have ended when nothing came for this many of its usual gaps.
QUIET_ARRIVALS = 4.0
# The room that operators set is for classes of which so many jobs come in a boot.
BURST_ARRIVALS = 2.0
# CycleLimits of the ratio of a run time to its estimate, so that one odd job does not mislead.
LEAST_RATIO, MOST_RATIO = 0.1, 4.0
LEAST_ESTIMATE_S = 0.5


@dataclass(slots=True)
class ClassLoad:
    """What a class's jobs are like, and how often they come."""

    spec: JobSpec
    tasks: float
    last: float
    gap_s: float = 0.0

    def add(self, spec: JobSpec, submitted: float) -> None:
        """Takes in one more job of the class."""
        gap = max(0.0, submitted - self.last)
        self.gap_s = gap if self.gap_s == 0.0 else self.gap_s + CLASS_MEMORY * (gap - self.gap_s)
        self.tasks += CLASS_MEMORY * (spec.tasks - self.tasks)
        self.spec = spec
        self.last = max(self.last, submitted)


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
        self.classes: dict[str, ClassLoad] = {}
        self.start_objectives = self._objective_times(objectives, "wait")
        self.completion_objectives = self._objective_times(objectives, "finished")

    def any_active(self) -> bool:
        """Whether jobs of some class are still coming."""
        return any(not self._has_ended(load) for load in self.classes.values())

    def record_run_time(self, spec: JobSpec, took_s: float) -> None:
        """Corrects later estimates of the class by a completed task's run time."""
        ratio = min(MOST_RATIO, max(LEAST_RATIO, took_s / spec.estimate_s))
        known = self._ratios.get(spec.job_class, 1.0)
        self._ratios[spec.job_class] = known + CLASS_MEMORY * (ratio - known)

    @staticmethod
    def _objective_times(objectives: Iterable[Objective], kind: str) -> dict[str, float]:
        """The tightest time of each class that has an objective of this kind."""
        times: dict[str, float] = {}
        for objective in objectives:
            if objective.kind == kind and objective.job_class and objective.within_s is not None:
                known = times.get(objective.job_class, objective.within_s)
                times[objective.job_class] = min(known, objective.within_s)
        return times

    def observe(self, spec: JobSpec, submitted: float) -> None:
        """Keeps what a class's jobs are like and how often they come, for headroom."""
        load = self.classes.get(spec.job_class)
        if load is None:
            self.classes[spec.job_class] = ClassLoad(spec, float(spec.tasks), submitted)
        else:
            load.add(spec, submitted)

    def headroom(self, gang: bool, settings: OperatorSettings, unseen: bool = False) -> list[tuple[JobSpec, int]]:
        """Tasks that should find room at once: of classes for which a rental would come too late.

        With `unseen`, room is kept for classes too of which nothing has come yet.
        """
        found = []
        for name, load in sorted(self.classes.items()):
            spec = load.spec
            if self._has_ended(load) or spec.is_gang is not gang:
                continue
            if name in self.start_objectives:
                factor = settings.headroom_wait
            else:
                factor = settings.headroom if self._slack_s(spec) < 0 else 0.0
            found.append((spec, math.ceil(factor * self._burst_factor(load) * load.tasks)))
        if unseen:
            found += [(spec, UNSEEN_MACHINES) for spec in self._unseen()]
        found.sort(key=lambda item: -item[0].rank)
        return found

    def _unseen(self) -> list[JobSpec]:
        """Small machines at the full price for each class that is to start soon and of which nothing has come.

        It may turn out to be one of gangs, which stop nobody, or one that may use no spot machine, and its
        first jobs would wait for a boot.
        """
        kind = min(self._types().values(), key=lambda kind: (kind.price, kind.name), default=None)
        if kind is None:
            return []
        return [
            JobSpec(
                id=gangs.EXPECTED_JOB_ID,
                job_class=name,
                team="",
                kind="gang",
                priority="standard",
                tasks=1,
                cpus=kind.cpus,
                gpus=kind.gpus,
                memory_gb=kind.memory_gb,
                image="",
                image_gb=0.0,
                estimate_s=0.0,
            )
            for name in self.start_objectives
            if name not in self.classes
        ]

    def _burst_factor(self, load: ClassLoad) -> float:
        """What arrives in a boot varies by its root: more room for classes of which many jobs come in one."""
        boot_s = min((kind.boot_s for kind in self._types().values() if fits_type(load.spec, kind)), default=0.0)
        return max(1.0, math.sqrt(boot_s / max(load.gap_s, 0.1) / BURST_ARRIVALS))

    def _has_ended(self, load: ClassLoad) -> bool:
        """Whether the class has sent nothing for so long that it is taken to have ended."""
        return self._wall_clock() - load.last > QUIET_ARRIVALS * max(load.gap_s, load.spec.estimate_s)

    def _slack_s(self, spec: JobSpec) -> float:
        """How long a new job of this kind may wait for a machine to be rented, at the least."""
        kinds = [kind for kind in self._types().values() if fits_type(spec, kind)]
        if not kinds:
            return 0.0
        ready_s = min(kind.boot_s + spec.image_gb / max(kind.fetch_gb_per_s, 1e-3) for kind in kinds)
        limits = [
            limit for limit in (spec.deadline_s, self.completion_objectives.get(spec.job_class)) if limit is not None
        ]
        if not limits:
            return ready_s
        return min(limits) - self.estimate(spec) - ready_s

    def estimate(self, spec: JobSpec) -> float:
        """Seconds a task is likely to run: the owner's estimate, corrected by what the class has shown."""
        return max(LEAST_ESTIMATE_S, spec.estimate_s * self._ratios.get(spec.job_class, 1.0))
