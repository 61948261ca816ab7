"""The watch over the jobs' records: submissions, and cancellations by whichever node was asked."""

import logging
from typing import TYPE_CHECKING, Any

from stileloft.model import records
from stileloft.model.jobs import Job, job_from_record
from stileloft.protocol.state import CompactedError, UnavailableError, UnknownOutcomeError

if TYPE_CHECKING:
    from stileloft.leadership.leader import Leader

    pass

log = logging.getLogger(__name__)

# A watch waits for this part of the leader's lease: until it is answered, nothing shows that it still hears.
WATCH_LIVES = 0.5
# Nothing is started when we have heard nothing of cancellations for so many of these.
FRESH_WATCHES = 4.0
# After an answer with news the next watch begins this part of one later.
GATHER_WATCH = 0.1
# How soon it is looked again whether a job whose record is gone has no transaction under way any more.
SETTLE_S = 0.25


class JobWatch:
    """Keeps the leader's jobs in step with the store, and knows how old that knowledge is."""

    def __init__(self, term: "Leader") -> None:
        self._term = term
        self._cluster = term.cluster
        self.revision = 0
        self.watch_s = term.node.election.lease_s * WATCH_LIVES
        self.up_to_date_at = float("-inf")
        """Until then we know of all cancellations: when we sent the newest question that the store answered."""
        self._too_old = False
        """The store does not know any more what has changed since `revision`: all jobs have to be read again."""
        self._removed: dict[str, float] = {}
        """Jobs removed from the picture, and when: the watch may not have come as far as that."""

    def job_removed(self, job_id: str) -> None:
        """Remembers a job that is over: the watch may still bring a record of it from before its end."""
        self._removed[job_id] = self._term.clock.seconds()

    def staleness_s(self) -> float:
        """Seconds since we last knew of all cancellations; without end before the store was read."""
        now: float = self._term.clock.seconds()
        return now - self.up_to_date_at

    def is_fresh(self) -> bool:
        """Whether we hear of cancellations, so that nothing is started of a job that is long over."""
        return self.staleness_s() <= FRESH_WATCHES * self.watch_s

    async def run(self) -> None:
        while self._term.alive:
            try:
                if self._too_old:
                    await self._resync()
                else:
                    await self._watch_once()
            except CompactedError:
                self._too_old = True
            except (UnavailableError, UnknownOutcomeError) as error:
                log.debug("watch: %s", error)
                await self._term.sleep(0.2)
            except Exception:
                log.exception("watch")
                await self._term.sleep(0.5)

    async def _watch_once(self) -> None:
        """Waits for changes, and takes them in."""
        asked_at = self._term.clock.seconds()
        revision, events = await self._term.state.watch(records.ACTIVE, self.revision, self.watch_s)
        if not self._term.alive:
            return
        if any(value is None and self._is_unexplained(key) for key, value, _ in events):
            # Its user cancelled it, or the store has lost it: then its tasks must not be stopped.
            await self._term.node.integrity.verify()
        for key, value, version in events:
            self.on_change(key[len(records.ACTIVE) :], value, version)
        self.revision, self.up_to_date_at = revision, asked_at
        self._forget_removed()
        if events:
            # Under a burst each change would else be an answer and a request of its own.
            await self._term.sleep(self.watch_s * GATHER_WATCH)

    async def _resync(self) -> None:
        """Reads all jobs, as changes since the last look are no longer known."""
        asked_at = self._term.clock.seconds()
        active, revision = await self._term.state.scan(records.ACTIVE)
        listed = {key for key, _, _ in active}
        missing = [
            job
            for job in list(self._cluster.jobs.values())
            if records.active_key(job.id) not in listed and job.version <= revision
        ]
        if missing:
            await self._term.node.integrity.verify()
        for key, value, version in active:
            self.on_change(key[len(records.ACTIVE) :], value, version)
        for job in missing:
            self.on_change(job.id, None, revision)
        self.revision, self.up_to_date_at = revision, asked_at
        self._too_old = False

    def _is_unexplained(self, key: str) -> bool:
        """Whether a record that is gone belongs to a job that goes on as far as we know."""
        job = self._cluster.jobs.get(key[len(records.ACTIVE) :])
        return job is not None and job.end_phase is None and not job.commit_in_flight

    def on_change(self, job_id: str, value: Any, version: int) -> None:
        """A job's record was written by somebody, perhaps by us."""
        job = self._cluster.jobs.get(job_id)
        if value is not None:
            if job is None and job_id not in self._removed:
                with self._term.lock:
                    job = job_from_record(value, version, self._term.node.first_chunk_size)
                    job.recount()
                    self._term.adopt_job(job)
                    for placement in job.placements():
                        self._term.tasks.attach(placement)
                self._term.request_scheduling()
            return
        if job is None or job.end_phase:
            return
        # Gone from `active/`: cancelled by its user, or finished by a commit of ours whose answer is still on
        # its way. In both cases nothing of it may run. What is being stored of it may take as long as an
        # outage, so the stops don't wait for that; which of the two it was, the store tells then.
        with self._term.lock:
            # With no transaction under way it was none of ours, and we know all that the store holds of it, unless
            # its record held a chunk, which has one of its own now.
            log.info("the record of job %s is gone, known from revision %d", job_id, version)
            self._term.tasks.end_job(job, "over" if job.commit_in_flight or job.has_inline_chunk else "cancelled")
        self._settle(job)

    def _settle(self, job: Job) -> None:
        """Learns what the store holds of a job that is over, once no transaction about it is under way."""
        if not self._term.alive or self._cluster.jobs.get(job.id) is not job or job.end_phase != "over":
            return
        if job.commit_in_flight:
            self._term.clock.callLater(SETTLE_S, self._settle, job)
        else:
            self._term.commit_queue.reload(job)

    def _forget_removed(self) -> None:
        """What was asked of the store after a job was let go of brings no record of it any more."""
        while self._removed and next(iter(self._removed.values())) < self.up_to_date_at:
            del self._removed[next(iter(self._removed))]
