"""The leader: what this controller does while it leads."""

import logging
from typing import Any

from twisted.internet import defer

from stileloft.leadership.leader_components import LeaderComponents
from stileloft.model.machines import Machine
from stileloft.protocol.commands import CommandMessage
from stileloft.protocol.messages import Heartbeat

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.5
"""How often all machines are checked, in seconds."""
MAX_SHOWN_AGE_S = 1e9
"""Shown in place of an age that has no bound."""


class Leader(LeaderComponents):
    """The life of one leadership; nothing of it outlives the leadership."""

    def begin(self) -> None:
        """Starts the leader's work."""
        defer.ensureDeferred(self._take_over())

    def end(self) -> None:
        """Ends the leadership: nothing is decided, sent or stored any more."""
        self.lease.end()
        self.scheduling.stop()

    async def _take_over(self) -> None:
        """Reads what is unfinished, claims the machines that are known, and begins the regular work."""
        defer.ensureDeferred(self.inventory.run())
        if not await self.failover.run():
            return
        with self.cluster.lock:
            # Where tasks are comes first: their ends and what is to be stopped wait for it.
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
        defer.ensureDeferred(self.watch.run())
        defer.ensureDeferred(self.images.run())
        defer.ensureDeferred(self.upgrade.run())
        if self._environment.integrity.detects_loss:
            defer.ensureDeferred(self.unresolved_tasks.run())
        self._check_machines()
        self.request_scheduling()

    def _check_machines(self) -> None:
        """Looks after all machines, again and again."""
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
            log.exception("check of the machines failed")
        if self.cluster.dirty:
            self.commit_queue.flush()
        self.request_scheduling()

    # -- events -----------------------------------------------------------------------

    def may_renew_worker_leases(self) -> bool:
        """Whether an answer of ours may renew a worker's lease."""
        return self.authority.check_renewal() is None

    def on_heartbeat(self, heartbeat: Heartbeat) -> CommandMessage:
        """Takes in a worker's heartbeat, and answers it."""
        if heartbeat.machine in self.releaser.released:
            # Held back on its way: the cloud has told us that the machine is gone. Believing
            # it would bring the machine back to life here, and place tasks on nothing.
            return CommandMessage(self.tokens.first, [])
        with self.cluster.lock:
            answer = self.responder.on_heartbeat(heartbeat)
        self._after_heartbeat()
        return answer

    def on_unanswered_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Takes in a heartbeat whose worker must not count on us, as we know too little to answer it."""
        if heartbeat.machine not in self.releaser.released:
            with self.cluster.lock:
                self.heartbeats.process(heartbeat)

    # -- administration ---------------------------------------------------------------

    def status(self) -> dict[str, Any]:
        """What the administration API shows of the leadership."""
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
