//! Observes for how long jobs wait although machines have free resources for them.
//!
//! Reservations for other jobs, headroom for services and cordons may all keep a job from free resources, one after the
//! other. The limit of its wait must not begin anew with each of them, so it counts from the moment at which some machine
//! had free resources for the job, whatever keeps them from it.

use crate::context::Context;
use crate::scheduler::leader::placement::tasks::max_tasks_in_zone;
use crate::scheduler::leader::placement::{free_without, QueuedJob};
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{permits, tasks_that_fit, MachineResources};
use crate::state::jobs::{Job, JobIndex, RESOURCE_TOLERANCE};
use crate::state::machine::Machine;
use crate::state::placement::MAX_WAIT_BESIDE_ROOM_US;
use crate::{Micros, SECOND};
use grebewood_wire::http::Shape;
use std::collections::BTreeMap;

/// Time between two observations, in microseconds.
const OBSERVATION_INTERVAL_US: Micros = SECOND;

/// A machine with free resources, which may be kept from some jobs.
struct Room<'a> {
    machine: &'a Machine,
    free: MachineResources,
}

impl Room<'_> {
    /// Returns how many tasks of the job may be placed here.
    fn slots(&self, context: &Context, job: &Job) -> u64 {
        let Machine {
            machine_type,
            zone,
            spot,
            ..
        } = self.machine;
        let is_permitted =
            job.zone_permits(zone) && permits(context, &job.spec, machine_type, zone, *spot);
        match is_permitted {
            true => tasks_that_fit(self.free, &job.spec),
            false => 0,
        }
    }
}

impl Scheduler {
    /// Returns whether the job has waited so long beside free resources that nothing keeps it from them any more.
    pub(crate) fn has_waited_beside_room(&self, index: JobIndex, now: Micros) -> bool {
        self.waited_beside_room(index, now) >= MAX_WAIT_BESIDE_ROOM_US
    }

    /// Returns for how long the job has waited beside free resources, in microseconds.
    fn waited_beside_room(&self, index: JobIndex, now: Micros) -> Micros {
        let job = self.jobs.get(index);
        job.map_or(0, |job| {
            self.placement
                .waited_beside_room(index, job.last_started_at, now)
        })
    }

    /// Returns the longest time for which a job has waited beside free resources, in microseconds.
    pub(crate) fn longest_wait_beside_room(&self, now: Micros) -> Micros {
        let indices = self.jobs.iter().map(|(index, _)| index);
        let waits = indices.map(|index| self.waited_beside_room(index, now));
        waits.max().unwrap_or(0)
    }

    /// Observes which of the waiting jobs wait beside free resources, if that is due.
    pub(crate) fn observe_waits(&mut self, context: &Context, queue: &[QueuedJob]) {
        let now = context.now.steady;
        if now < self.placement.next_wait_check {
            return;
        }
        self.placement.next_wait_check = now + OBSERVATION_INTERVAL_US;
        let rooms = self.rooms(context);
        let beside_room: Vec<JobIndex> = queue
            .iter()
            .map(|queued| queued.index)
            .filter(|index| self.waits_beside_room(context, *index, &rooms))
            .collect();
        // A wait goes on if the machines are full for a moment only: until the tasks that were placed there start,
        // others may have ended.
        let waiting = &mut self.placement.waiting_beside_room;
        for index in beside_room {
            waiting.observe(&index, now);
        }
        waiting.remove_lapsed(now);
        self.placement.reserved_machines.remove_lapsed(now);
        self.placement.reserved_quotas.remove_lapsed(now);
    }

    /// Returns the machines with free resources, those with the most free CPUs first: the usable ones, and those that
    /// only a cordon that may end keeps from being used.
    fn rooms(&self, context: &Context) -> Vec<Room<'_>> {
        let now = context.now.steady;
        let heartbeat_timeout = context.settings.heartbeat_timeout();
        let promised: BTreeMap<&str, MachineResources> = self.promised_resources();
        let mut rooms: Vec<Room> = self
            .machines
            .values()
            .filter(|machine| machine.is_usable_once_uncordoned(now, heartbeat_timeout))
            .filter(|machine| !self.fleet.is_terminating(&machine.name))
            .map(|machine| Room {
                machine,
                free: free_without(machine, &promised),
            })
            .filter(|room| room.free.cpus > RESOURCE_TOLERANCE)
            .collect();
        rooms.sort_by(|a, b| b.free.cpus.total_cmp(&a.free.cpus));
        rooms
    }

    /// Returns whether the job has a task to place for which a machine has free resources and which its team's limit
    /// permits. For a gang, both must suffice for all of its tasks.
    fn waits_beside_room(&self, context: &Context, index: JobIndex, rooms: &[Room]) -> bool {
        let Some(job) = self.jobs.get(index) else {
            return false;
        };
        if job.placeable_count(context.now.steady) == 0 || !self.has_quota(context, index) {
            return false;
        }
        let mut fitting = rooms
            .iter()
            .take_while(|room| room.free.cpus + RESOURCE_TOLERANCE >= job.spec.cpus);
        match job.shape {
            Shape::Gang => gang_slots(context, job, fitting) >= job.waiting_count(),
            _ => fitting.any(|room| room.slots(context, job) > 0),
        }
    }
}

/// Returns how many tasks of a gang the machines have room for at the same time, within the limits of its zones.
fn gang_slots<'a>(context: &Context, gang: &Job, rooms: impl Iterator<Item = &'a Room<'a>>) -> u64 {
    let mut by_zone: BTreeMap<&str, u64> = BTreeMap::new();
    for room in rooms {
        *by_zone.entry(&room.machine.zone).or_insert(0) += room.slots(context, gang);
    }
    let slots = by_zone.into_values();
    if gang.spec.one_zone {
        slots.max().unwrap_or(0)
    } else if gang.spec.spread {
        slots
            .map(|slots| slots.min(max_tasks_in_zone(&gang.spec)))
            .sum()
    } else {
        slots.sum()
    }
}
