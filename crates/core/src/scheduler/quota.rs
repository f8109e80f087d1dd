//! Team quotas while several controllers place tasks.
//!
//! The leader sends the holder of a partition two things: the tasks that it is to place, and a quota grant, which
//! is the part of each team's limit that these tasks may use. The holder chooses a machine for each task, writes
//! the assignment to one of its own assignment pages, and launches the task. An assignment page is a record in the
//! key-value store that lists the tasks assigned to machines. Tasks therefore continue to start after the leader
//! has failed.
//!
//! No task is placed by two controllers. A write of a holder depends on the claim record of its partition and on
//! the leader record of the leader that delegated the task
//! ([`write_conditions`](crate::scheduler::write_conditions)), and the leader record outlives the leader by the
//! time to live of its lease. A new leader reads all assignment pages after it has acquired its lease, and from
//! then on holders write nothing until they have received the new leader's orders. The new leader places again
//! those tasks that were on no assignment page by then.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::jobs::JobIndex;
use crate::state::machine::Assignment;
use grebewood_partition::PartitionId;
use grebewood_quota::{Resources, TeamQuota};

impl Scheduler {
    /// Returns whether the leader may send tasks and quota grants to partition holders now: the teams' limits are
    /// written to the key-value store, the write rate suffices for several members, every member that answered
    /// recently supports quota grants, and the store has not refused to write a quota grant or the limits.
    pub(crate) fn grants_quota(&self, context: &Context) -> bool {
        self.enforces_guarantees(context)
            && context.holders_can_write()
            && !self.leader_quota.quota_grants_paused
            && !self.leader_quota.grant_write_refused
    }

    /// Returns whether tasks are preempted for teams that are below their guaranteed share.
    pub(crate) fn enforces_guarantees(&self, context: &Context) -> bool {
        context.supports_quota_grants() && self.limits_are_in_store()
    }

    /// Returns whether the partition's holder places tasks.
    pub(crate) fn holder_places_tasks(&self, partition: PartitionId) -> bool {
        self.leader_quota.placing_partitions.contains(&partition)
    }

    /// Returns whether the leader may send tasks to the partition's holder now: the holder places tasks, and has not
    /// been slow recently.
    pub(crate) fn may_delegate_to(&self, context: &Context, partition: PartitionId) -> bool {
        let holder_slow_until = self.leader_quota.holder_slow_until.get(&partition);
        let is_slow = holder_slow_until.is_some_and(|until| context.now.steady < *until);
        self.holder_places_tasks(partition) && !is_slow
    }

    /// Returns a team's quota (guaranteed share and limit): the quota in force, or the quota in the settings if this
    /// controller does not support quota grants.
    pub(crate) fn team_quota(&self, context: &Context, team: &str) -> Option<TeamQuota> {
        if context.supports_quota_grants() {
            self.leader_quota.limits.in_force().get(team)
        } else {
            Some(context.settings.teams.get(team)?.quota())
        }
    }

    /// Returns the quotas of all teams.
    pub(crate) fn team_quotas(&self, context: &Context) -> Vec<(String, TeamQuota)> {
        let settings = context.settings.limits();
        let limits = if context.supports_quota_grants() {
            self.leader_quota.limits.in_force()
        } else {
            &settings
        };
        let limits = limits.iter();
        let owned = limits.map(|(team, limit)| (team.to_string(), limit));
        owned.collect()
    }

    /// Returns the resources of a team's tasks, including the tasks that are delegated to holders.
    pub(crate) fn resources_needed_by(&self, team: &str) -> Resources {
        let delegated = self.leader_quota.grants.needed(team);
        self.used_by(team).saturating_add(delegated)
    }

    /// Returns the part of a team's limit that is neither used nor granted to holders.
    pub(crate) fn room_under_limit(&self, context: &Context, team: &str) -> Resources {
        let limit = self.team_quota(context, team).unwrap_or_default();
        let granted = self.leader_quota.grants.total_charged(team);
        limit
            .limit
            .saturating_sub(self.used_by(team))
            .saturating_sub(granted)
    }

    /// Returns the resources of a team's tasks, without those that holders place.
    fn used_by(&self, team: &str) -> Resources {
        self.usage.get(team).copied().unwrap_or_default()
    }

    /// Returns whether the amount fits into the remainder of a team's limit. If it does not, the holders are asked
    /// to return the parts of their quota grants that they do not need.
    pub(crate) fn fits_limit(&mut self, context: &Context, team: &str, amount: Resources) -> bool {
        let fits = amount.fits(self.room_under_limit(context, team));
        if !fits {
            self.leader_quota
                .teams_short_of_room
                .insert(team.to_string());
        }
        fits
    }

    /// Charges the resources of an assignment to the quota of its team, until the task is proven gone.
    pub(crate) fn charge_quota(&mut self, assignment: &Assignment) {
        let (team, amount) = (&assignment.team, assignment.amount());
        match (assignment.placed_by_holder, self.is_holder()) {
            (true, true) => self.holder_quota.grant.reserve(team, amount),
            // The leader charges the resources to the holder's quota grant when the leader learns of the assignment.
            (true, false) => {}
            (false, _) => {
                let used = self.usage.entry(team.clone()).or_default();
                *used = used.saturating_add(amount);
            }
        }
    }

    /// Releases the resources of an assignment on this machine, whose task is proven gone, from the quota of its
    /// team.
    pub(crate) fn release_quota(
        &mut self,
        context: &Context,
        machine: &str,
        assignment: &Assignment,
    ) {
        let (team, amount) = (&assignment.team, assignment.amount());
        match (assignment.placed_by_holder, self.is_holder()) {
            (true, true) => self.holder_quota.grant.release(team, amount),
            (true, false) => {
                let machine = self.machines.get(machine);
                if let Some(partition) = machine.and_then(|machine| machine.partition) {
                    let grants = &mut self.leader_quota.grants;
                    grants.remove_placed(partition, team, amount, context.now.steady);
                }
            }
            (false, _) => {
                if let Some(used) = self.usage.get_mut(team) {
                    *used = used.saturating_sub(amount);
                }
            }
        }
    }

    /// Returns whether no task of the job is on a machine or delegated to a holder.
    pub(crate) fn has_no_assigned_tasks(&self, index: JobIndex) -> bool {
        let job = self.jobs.get(index);
        job.is_none_or(|job| job.assignment_count() == 0 && job.delegated_count == 0)
    }
}
