"""Jobs that are submitted to a simulated cluster, and the wait for their end."""

from tests.simulation.cluster import SimulatedCluster


def submit_mixed_jobs(cluster: SimulatedCluster, jobs: int = 24, every: float = 3.0) -> None:
    """Submits jobs of several classes, teams and constraints, one every `every` seconds."""
    for number in range(jobs):
        kind = number % 6
        changes: dict = {
            0: {"pieces": 4},
            1: {"lane": "quick", "urgency": "urgent", "vcpus": 2.0, "pieces": 5, "guessS": 4.0, "crew": "edge"},
            2: {"pieces": 1, "vcpus": 16.0, "guessS": 20.0, "snapshotS": 5.0, "stashS": 1.0},
            3: {"together": True, "pieces": 5, "vcpus": 2.0, "crew": "edge"},
            4: {"spread": True, "pieces": 5, "vcpus": 3.0},
            5: {"loaner": False, "builds": ["small"], "yard": "b", "pieces": 2},
        }[kind]
        cluster.clock.callLater(1.0 + number * every, cluster.submit, cluster.job(number, **changes))


def run_until_jobs_end(cluster: SimulatedCluster, seconds: float = 400.0) -> None:
    """Runs until the users have received the end of each feasible job and the faults are over, or for `seconds`."""
    end = cluster.now + seconds
    feasible = [job for job in cluster.jobs if job not in cluster.checker.infeasible_jobs]
    while cluster.now < end and not (
        feasible
        and cluster.now > cluster.checker.faults_until
        and all(cluster.checker.is_final(job) for job in feasible)
    ):
        cluster.run(5.0)
        cluster.checker.check_cancelled()
        cluster.checker.check_answered()
        cluster.checker.check_waiting()
        feasible = [job for job in cluster.jobs if job not in cluster.checker.infeasible_jobs]
    cluster.checker.check_served()


def submit_burst(cluster: SimulatedCluster) -> None:
    for number in range(12):
        cluster.submit(cluster.job(500 + number, pieces=4, vcpus=2.0, guessS=6.0, crew=("core", "edge")[number % 2]))
