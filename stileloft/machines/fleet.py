"""Machines: what the cloud lists, rentals, returns, and which are given up."""

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from stileloft.leadership.election import DRIFT
from stileloft.machines.image_locations import ImageRecords
from stileloft.model import records
from stileloft.model.machines import Machine
from stileloft.protocol.cloud import PROVISION_LIMIT, RELEASE_LIMIT, CloudError, NoCapacityError
from stileloft.protocol.messages import ListedMachine, MachineState
from stileloft.protocol.state import ConflictError, TooLargeError, UnavailableError, UnknownOutcomeError
from stileloft.scheduling.autoscaling import InstanceOffer, ScalingPlan

if TYPE_CHECKING:
    from stileloft.leadership.leader import Leader

    pass

log = logging.getLogger(__name__)

# Silence after which nothing more is placed on a machine, in report intervals, and the same for the
# last sign that it hears us.
OVERDUE_HEARTBEATS = 2.0
REACHABLE_HEARTBEATS = 3.5
# A worker that got no answer reports to the same node again after this long at the earliest.
UNANSWERED_S = 4.5
# Silence that counts for the question whether we hear at all, and the answer to it.
SUSPICION_HEARTBEATS = 1.6
WORKER_PATIENCE_S = 5.0
CONFIRMATION_HEARTBEATS = 2.25
# Silence after which a machine is given back, as a part of the lease and in report intervals.
FAILURE_LEASES = 0.5
FAILURE_HEARTBEATS = 3.0
# Boots take 1.5 times as long as the type says at the most, if nothing is wrong. One that is not up after the first of
# these multiples does not count as coming any more, and after the second it is given back.
LATE_BOOTS = 1.6
BOOT_LIMIT = 3.0
# How long an offer without capacity is left alone, in boot times.
CAPACITY_BACKOFF_BOOTS = 0.5
# An offer of which so many machines in a row were late is distrusted for a boot time, twice as long with each further
# one, up to the most.
SLOW_BOOTS_IN_A_ROW = 2
MAX_UNRELIABLE_BOOTS = 8.0
MARGIN_LEASES = 0.1
PROVISION_ATTEMPTS = 6
# Machines that are gone are remembered for so many leases: packets held back may come minutes late.
RELEASED_MEMORY_LEASES = 40.0
# Machines to be returned are gathered for so long into one request.
GATHER_S = 0.05
# Pages of the cloud's list that are read without a pause, and the part of our requests to the cloud that further ones
# may take: rentals and returns need the rest.
PAGES_AT_ONCE = 2
LIST_PART = 0.5


class Fleet:
    def __init__(self, term: "Leader") -> None:
        self.term = term
        workers = term.settings.workers
        self.lease_s = workers.lease_s
        self.heartbeat_overdue_s = OVERDUE_HEARTBEATS * workers.heartbeat_s
        self.reachability_timeout_s = REACHABLE_HEARTBEATS * workers.heartbeat_s
        self.suspicion_timeout_s = SUSPICION_HEARTBEATS * workers.heartbeat_s
        # A worker gives up on an answer after 4 s, and asks the next node up to an interval later.
        self.confirmation_timeout_s = WORKER_PATIENCE_S + CONFIRMATION_HEARTBEATS * workers.heartbeat_s
        self.failure_timeout_s = max(FAILURE_LEASES * workers.lease_s, FAILURE_HEARTBEATS * workers.heartbeat_s)
        self.lag_s = term.settings.cloud.list_lag_s
        self.released_machines: dict[str, float] = {}
        self.release_queue: dict[str, Machine] = {}
        self.refused: dict[InstanceOffer, float] = {}
        self._late_in_a_row: dict[InstanceOffer, int] = {}
        self._unreliable_until: dict[InstanceOffer, float] = {}
        """Offers whose machines keep coming late, and until when others are preferred."""
        self.provisioning: dict[str, tuple[InstanceOffer, int]] = {}
        self.listed_after_s = 4 * self.lag_s + 5.0
        """After this long a rented machine is surely in the cloud's list."""
        self.provision_record_slots: dict[int, float] = {}
        """The store's records of rentals, and the time of day until which each may be needed."""
        self._serial = 0
        self._asking = False
        self._not_deaf_until = 0.0
        self.images = ImageRecords(term)

    # -- the cloud's list -------------------------------------------------------

    async def list_loop(self) -> None:
        """Reads the cloud's list page by page, over and over.

        Each page is taken in as it comes, and a page that fails is asked for again: a list of many pages that had to
        be read in one go would use up the cloud's limit of requests before its end, and would never be complete.
        """
        term = self.term
        between_lists_s = max(1.0, self.lag_s / 4)
        between_pages_s = 1.0 / (LIST_PART * term.cloud.requests_per_s)
        after, pages = "", 0
        while term.alive:
            pause_s = between_lists_s
            try:
                page = await term.cloud.machines_after(after)
                if not term.alive:
                    return
                with term.lock:
                    self.reconcile_list(page.machines)
                term.request_scheduling()
                pages += 1
                if page.more:
                    after = page.machines[-1].id
                    pause_s = between_pages_s if pages >= PAGES_AT_ONCE else 0.0
                else:
                    after, pages = "", 0
            except CloudError as error:
                log.debug("machine list: %s", error)
            except Exception:
                log.exception("machine list")
            await term.sleep(pause_s)

    def reconcile_list(self, listed: list[ListedMachine]) -> None:
        """Adds machines; a list never removes what may be alive, since it can be old."""
        term = self.term
        now = term.clock.seconds()
        for item in listed:
            if item.id in self.released_machines:
                continue
            machine = term.machine(item.id)
            machine.cloud_state = item.state
            if not machine.heartbeat_received:
                machine.type, machine.zone, machine.spot = item.type, item.zone, item.spot
                machine.address = machine.address or item.address
            if not machine.provisioned_at:
                machine.provisioned_at = now - item.age_s - self.lag_s
            if item.state == MachineState.FAILED:
                self.release(machine, "it failed")

    # -- watching over machines ---------------------------------------------------

    def check(self) -> None:
        """Finds machines that are silent, never came up, are to be emptied, or are empty and unwanted."""
        term = self.term
        if not term.holds_lease():
            return  # nothing may be decided now, and reports may be going to another leader
        now = term.clock.seconds()
        machines = list(term.machines.values())
        up = [m for m in machines if m.up_since is not None or m.cloud_state == "running"]
        # Reports come at different times, so a lost link shows on all machines only after an interval.
        # What counts is who is quiet when the first is silent; else that one would be given up.
        quiet = [m for m in up if now - max(m.last_heartbeat_at, term.started_at) > self.suspicion_timeout_s]
        deaf = len(up) > 1 and len(quiet) * 2 > len(up) and now > self._not_deaf_until
        if deaf and not self._asking:
            self._asking = True
            defer.ensureDeferred(self._ask_peers(quiet))
        for machine in machines:
            self._check_one(machine, now, deaf)

    async def _ask_peers(self, quiet: list[Machine]) -> None:
        """Most machines are quiet: are they gone, or is it we who cannot hear them?

        Workers that do not reach us try the other nodes, which remember whom they referred to us.
        """
        term = self.term
        asked = {machine.id: machine.last_heartbeat_at for machine in quiet}
        views = await term.node.peers.views()
        self._asking = False
        if not term.alive:
            return
        # One that has reached us meanwhile was only slow.
        still = [machine for machine in quiet if machine.last_heartbeat_at == asked[machine.id]]
        # A late copy that came to a peer does not show that a machine is alive: only what we have not heard counts.
        missed = sum(
            1
            for machine in still
            if any(tuple(view.machines.get(machine.id, (0, 0))) > (machine.epoch, machine.sequence) for view in views)
        )
        now = term.clock.seconds()
        late = all(
            now - max(machine.last_heartbeat_at, term.started_at) > self.confirmation_timeout_s for machine in still
        )
        if missed * 4 >= len(still) and missed:
            reason = f"{len(still)} machines are quiet, and peers hear {missed} of them"
        elif not still or not late:
            return  # they may still be on their way to a peer: ask again
        elif views:
            self._not_deaf_until = now + self.failure_timeout_s
            return
        else:
            reason = f"{len(still)} machines are silent, and so are the peers"
        term.depose(reason)
        term.node.election.stand_aside(self.lease_s / 2)

    def lease_expired(self, machine: Machine, now: float) -> bool:
        """Whether the machine's tasks are certainly killed, by its worker's lease."""
        margin = self.lease_s * (MARGIN_LEASES + 2 * DRIFT)
        # Until the worker is known to have our token, a former leader may answer it without being confirmed,
        # for its grace. That we answered a report shows nothing: it may have been an old one, which came just
        # as our term began, and whose worker hears the former leader still.
        lease_renewed_at = machine.lease_renewed_at
        if not machine.claimed:
            lease_renewed_at = max(lease_renewed_at, self.term.started_at + self.term.renewal_grace_s)
        return now > lease_renewed_at + self.lease_s + margin

    def _check_one(self, machine: Machine, now: float, deaf: bool) -> None:
        term = self.term
        if machine.releasing:
            return
        if machine.up_since is None:
            self._check_boot(machine, now)
            if machine.cloud_state != "running" and not machine.placements:
                return
        self._end_lapsed(machine, now)
        heard = max(machine.last_heartbeat_at, term.started_at)
        if now - heard > self.failure_timeout_s and not deaf:
            self.release(machine, f"it has been silent for {now - heard:.1f} s")
            return
        if machine.reclaim_at is not None:
            term.tasks.evict_gracefully(machine, now)
        if machine.drain_reason and not machine.placements and not machine.orphaned_tasks:
            self.release(machine, machine.drain_reason)

    def _check_boot(self, machine: Machine, now: float) -> None:
        """A machine that is not up yet: late, or given up."""
        if not machine.boot_overdue and self._is_late(machine, now):
            self._came_late(machine, now)
        limit_s = BOOT_LIMIT * self._boot_s(machine) + self.lag_s
        unused = machine.cloud_state != "running" and not machine.placements
        if unused and now - (machine.provisioned_at or machine.first_seen) > limit_s:
            self.release(machine, "it did not come up")

    def _end_lapsed(self, machine: Machine, now: float) -> None:
        """Ends all tasks of a machine whose worker's lease is certainly over."""
        if machine.placements and self.lease_expired(machine, now):
            for placement in list(machine.placements.values()):
                self.term.tasks.end(placement, "its machine's lease is over")

    def _is_late(self, machine: Machine, now: float) -> bool:
        """Whether a machine should be up by now.

        One that is listed as running is up, and reports to us soon if we have just begun, or is silent. Of the others
        a new leader can't say so before they had the time to come to it.
        """
        if machine.cloud_state == "running" or now - self.term.started_at < self.failure_timeout_s:
            return False
        return now - (machine.provisioned_at or machine.first_seen) > LATE_BOOTS * self._boot_s(machine)

    def _came_late(self, machine: Machine, now: float) -> None:
        """It does not count as coming any more: others are rented for what waits for it."""
        machine.boot_overdue = True
        offer = (machine.type, machine.zone, machine.spot)
        late = self._late_in_a_row[offer] = self._late_in_a_row.get(offer, 0) + 1
        if late >= SLOW_BOOTS_IN_A_ROW:
            boots = min(MAX_UNRELIABLE_BOOTS, 2.0 ** (late - SLOW_BOOTS_IN_A_ROW))
            self._unreliable_until[offer] = now + boots * self._boot_s(machine)
            log.info("the last %d machines of %s in %s came late: others are preferred", late, offer[0], offer[1])

    def record_boot(self, machine: Machine) -> None:
        """A machine is up; one that is in time shows that its offer can be trusted."""
        if not machine.boot_overdue:
            offer = (machine.type, machine.zone, machine.spot)
            self._late_in_a_row.pop(offer, None)
            self._unreliable_until.pop(offer, None)

    def unreliable_offers(self) -> frozenset[InstanceOffer]:
        """Offers whose machines keep coming late."""
        now = self.term.clock.seconds()
        return frozenset(offer for offer, until in self._unreliable_until.items() if until > now)

    def _boot_s(self, machine: Machine) -> float:
        kind = self.term.types.get(machine.type)
        return kind.boot_s if kind else self.lease_s

    def release(self, machine: Machine, reason: str) -> None:
        """Returns a machine; once the cloud confirms it, everything on it is gone."""
        if machine.releasing:
            return
        machine.releasing = True
        machine.drain_reason = machine.drain_reason or reason
        log.info("returning machine %s: %s", machine.id, reason)
        self.release_queue[machine.id] = machine
        if len(self.release_queue) == 1:
            defer.ensureDeferred(self._release())

    async def _release(self) -> None:
        """Returns machines until none is left to return; many to a request, as the cloud takes few of them."""
        term = self.term
        while term.alive and self.release_queue:
            await term.sleep(GATHER_S)
            if term.authority.check_scale_in() is not None:
                await term.sleep(0.5)
                continue
            batch = list(self.release_queue.values())[:RELEASE_LIMIT]
            try:
                await term.cloud.release([machine.id for machine in batch], lambda: not term.authority.check_scale_in())
            except CloudError as error:
                log.debug("returning %d machines: %s", len(batch), error)
                await term.sleep(1.0)
                now = term.clock.seconds()
                with term.lock:
                    for machine in self.release_queue.values():
                        self._end_lapsed(machine, now)
                continue
            if not term.alive:
                return
            with term.lock:
                for machine in batch:
                    self._returned(machine)
            term.request_scheduling()

    def _returned(self, machine: Machine) -> None:
        """The cloud has confirmed that the machine and everything on it is gone."""
        term = self.term
        self.release_queue.pop(machine.id, None)
        now = self.released_machines[machine.id] = term.clock.seconds()
        while (
            now - self.released_machines[oldest := next(iter(self.released_machines))]
            > RELEASED_MEMORY_LEASES * self.lease_s
        ):
            del self.released_machines[oldest]
        for placement in list(machine.placements.values()):
            term.tasks.end(placement, "its machine is gone")
        term.machines.pop(machine.id, None)
        self.images.machine_gone(machine)

    # -- renting ------------------------------------------------------------------

    def offers_without_capacity(self) -> frozenset[InstanceOffer]:
        """Offers that the cloud had none of lately."""
        now = self.term.clock.seconds()
        return frozenset(offer for offer, until in self.refused.items() if until > now)

    def apply(self, plan: ScalingPlan) -> None:
        for machine_id in plan.release:
            machine = self.term.machines.get(machine_id)
            if machine is not None and not machine.placements and not machine.orphaned_tasks:
                self.release(machine, "it is idle")
        for offer, wanted in plan.provision.items():
            # A request for more would be filled in part, and read as a sign that the cloud has no more of these.
            for first in range(0, wanted, PROVISION_LIMIT):
                self._request_machines(offer, min(PROVISION_LIMIT, wanted - first))

    def _request_machines(self, offer: InstanceOffer, count: int) -> None:
        """Begins a rental of at most `RENT_LIMIT` machines."""
        self._serial += 1
        # The process's nonce keeps names apart between nodes, restarts and terms.
        request = f"r-{self.term.nonce}-{self.term.tokens.first}-{self._serial}"
        self.provisioning[request] = (offer, count)
        defer.ensureDeferred(self._rent(request, offer, count))

    async def _rent(self, request: str, offer: InstanceOffer, count: int) -> None:
        term = self.term
        name, zone, spot = offer
        machines: list[str] = []
        kind = term.types.get(name)
        refused_s = CAPACITY_BACKOFF_BOOTS * (kind.boot_s if kind else self.lease_s)
        sent_at = term.clock.seconds()
        for tried in range(PROVISION_ATTEMPTS):
            if term.authority.check_scale_out() is not None:
                break
            try:
                machines = await term.cloud.provision(
                    request, name, zone, spot, count, lambda: not term.authority.check_scale_out()
                )
                if len(machines) < count:
                    self.refused[offer] = term.clock.seconds() + refused_s
                break
            except NoCapacityError:
                self.refused[offer] = term.clock.seconds() + refused_s
                break
            except CloudError as error:
                # The same name again: if the first was carried out, nothing more is rented.
                log.info("renting %s: %s", request, error)
                await term.sleep(1.0 + tried)
        if not term.alive:
            return
        with term.lock:
            self.provisioning.pop(request, None)
            for machine_id in machines:
                machine = term.machine(machine_id)
                if not machine.heartbeat_received:
                    machine.type, machine.zone, machine.spot = name, zone, spot
                machine.provisioned_at = sent_at
        if machines:
            log.info("rented %d of %d %s in %s%s", len(machines), count, name, zone, ", spot" if spot else "")
            await self._store_rental(offer, machines)
        else:
            log.info("no %s to be had in %s%s", name, zone, ", spot" if spot else "")
        term.request_scheduling()

    async def _store_rental(self, offer: InstanceOffer, machines: list[str]) -> None:
        """Tells a successor of machines that the cloud's list may not show yet.

        A record for each rental, written over when it is no longer needed: all of a large fleet's in one
        would be over the store's limit for a value.
        """
        term = self.term
        now = term.wall_clock()
        whole = {"t": round(now, 1), "o": list(offer), "m": machines}
        if len(machines) > 1 and records.size_of(whole) > term.limits.value_bytes:
            for half in (machines[: len(machines) // 2], machines[len(machines) // 2 :]):
                await self._store_rental(offer, half)
            return
        if not term.write_budget.try_take(1.0):
            return
        slot = next(
            n for n in range(len(self.provision_record_slots) + 1) if self.provision_record_slots.get(n, 0.0) < now
        )
        self.provision_record_slots[slot] = now + self.listed_after_s
        try:
            await term.state.commit(term.leader_guard(), {records.provisioned_key(slot): whole}, [])
        except TooLargeError:
            term.limits.refused([whole], 1)
            await self._store_rental(offer, machines)
        except (ConflictError, UnavailableError, UnknownOutcomeError) as error:
            log.debug("recording a rental: %s", error)

    # -- what a former leader rented ------------------------------------------------

    def load_provision_record(self, key: str, value: dict[str, Any]) -> None:
        """Takes in what a former leader rented, unless the cloud's list shows it by now."""
        term = self.term
        wall_clock, now = term.wall_clock(), term.clock.seconds()
        rented = value["t"]
        self.provision_record_slots[int(key[len(records.PROVISIONED) :])] = rented + self.listed_after_s
        if wall_clock > rented + self.listed_after_s:
            return
        for machine_id in value["m"]:
            machine = term.machine(machine_id)
            machine.type, machine.zone, machine.spot = value["o"]
            machine.provisioned_at = now - max(0.0, wall_clock - rented)
