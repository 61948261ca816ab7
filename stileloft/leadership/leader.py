"""The leader: its takeover, its periodic checks, and the events it handles."""

import logging
from typing import Any

from stileloft.leadership.leader_components import LeaderComponents
from stileloft.model.machines import Machine
from stileloft.protocol.commands import CommandMessage
from stileloft.protocol.messages import Heartbeat
from stileloft.transport import background

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.5
"""Interval of the check of all machines, in seconds."""
MAX_SHOWN_AGE_S = 1e9
"""Highest age shown in the status, in seconds; also shown for an infinite age."""


class Leader(LeaderComponents):
    """One leadership from its takeover to its end, after which the leader's state is discarded."""

    def begin(self) -> None:
        """Starts the takeover, which goes on in the background."""
        background.start("takeover", self._take_over_or_step_down())

    def end(self) -> None:
        """Ends the leadership: nothing is decided, sent or stored afterwards."""
        self.lease.end()
        self.scheduling.stop()

    async def _take_over_or_step_down(self) -> None:
        """Takes over; a leadership that cannot begin its work is given up, so that another controller can lead."""
        try:
            await self._take_over()
        except Exception:
            log.exception("takeover failed token=%d", self.tokens.first)
            self.lease.step_down("takeover failed")

    async def _take_over(self) -> None:
        """Recovers the state from the store, claims the known machines, and starts the periodic work."""
        background.start("machine inventory", self.inventory.run())
        if not await self.failover.run():
            return
        with self.cluster.lock:
            # Machines with placements come first, because exits and stops are processed only on claimed machines.
            for machine in sorted(self.cluster.machines.values(), key=lambda machine: not machine.placements):
                self.dispatcher.send(machine)
        log.info(
            "failover finished token=%d jobs=%d machines=%d revision=%d seconds=%.2f",
            self.tokens.first,
            len(self.cluster.jobs),
            len(self.cluster.machines),
            self.watch.revision,
            self._clock.seconds() - self.lease.began_at,
        )
        background.start("job watch", self.watch.run())
        background.start("image records", self.images.run())
        background.start("format upgrade", self.upgrade.run())
        if self._environment.integrity.detects_loss:
            background.start("unresolved tasks", self.unresolved_tasks.run())
        self._check_machines()
        self.request_scheduling()

    def _check_machines(self) -> None:
        """Checks all machines, sends the commands that are due, and schedules the next check."""
        if not self.lease.active:
            return
        self._clock.callLater(CHECK_INTERVAL_S, self._check_machines)
        try:
            with self.cluster.lock:
                self.supervisor.check()
                if not self.lease.active:
                    return
                for machine in self.cluster.machines.values():
                    self.dispatcher.send(machine)
                self.cluster.expire_nominations(self._clock.seconds())
        except Exception:
            log.exception(
                "periodic check of all machines failed token=%d machines=%d",
                self.tokens.first,
                len(self.cluster.machines),
            )
        if self.cluster.dirty:
            self.commit_queue.flush()
        self.request_scheduling()

    # -- events -----------------------------------------------------------------------

    def may_renew_worker_leases(self) -> bool:
        """Returns whether answers to heartbeats may renew worker leases now."""
        return self.authority.check_renewal() is None

    def on_heartbeat(self, heartbeat: Heartbeat) -> CommandMessage:
        """Processes a worker's heartbeat and returns the answer."""
        if heartbeat.machine in self.releaser.released:
            # A delayed heartbeat: the cloud has confirmed that the machine is gone. Processing it
            # would register the machine again, and tasks would be placed on a machine that does not exist.
            return CommandMessage(self.tokens.first, [])
        with self.cluster.lock:
            answer = self.responder.on_heartbeat(heartbeat)
        self._after_heartbeat()
        return answer

    def on_unanswered_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Processes a heartbeat that is left unanswered, because an answer must not renew the worker's lease now."""
        if heartbeat.machine not in self.releaser.released:
            with self.cluster.lock:
                self.heartbeats.process(heartbeat)

    # -- administration ---------------------------------------------------------------

    def status(self) -> dict[str, Any]:
        """Returns what the administration API shows of the leadership."""
        with self.cluster.lock:
            jobs = self.cluster.jobs.values()
            return {
                "jobs": {
                    "unfinished": len(jobs),
                    "waiting_tasks": sum(job.waiting for job in jobs),
                    "placed_tasks": sum(job.placed for job in jobs),
                },
                "machines": [_machine_status(machine) for machine in self.cluster.machines.values()],
                "commits": self.commit_queue.commits,
                "commands": self.dispatcher.status(),
                "knowledge": {
                    "store_read": self.cluster.loaded,
                    "watch_revision": self.watch.revision,
                    "cancellations_known_s_ago": round(min(MAX_SHOWN_AGE_S, self.watch.staleness_s()), 3),
                    "lease_renewed_s_ago": round(self.lease.seconds_since_renewal(), 3),
                },
                "last_decision": self.scheduling.last_decision,
            }


def _machine_status(machine: Machine) -> dict[str, Any]:
    return {
        "id": machine.id,
        "type": machine.type,
        "zone": machine.zone,
        "spot": machine.spot,
        "up": machine.up_since is not None,
        "tasks": len(machine.placements),
        "draining": machine.drain_reason,
    }
