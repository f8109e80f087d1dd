//! Team quotas while several controllers place tasks.
//!
//! The leader gives the holder of a partition two things: tasks that it is to place, and a quota grant, which says how
//! much of each team's limit they may use. The holder chooses the machine, writes the assignment to a page of its own
//! and launches it. So tasks go on starting when the leader ends.
//!
//! A task is never placed by two controllers: a holder's write depends on its claim and on the record of the leader that
//! delegated the task ([`write_conditions`](crate::scheduler::write_conditions)), which outlives that leader by its
//! lease. A new leader reads all pages after it has acquired its lease, and from then on holders write nothing until
//! they have heard from it: what was not on record by then, it places anew.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::jobs::JobIndex;
use crate::state::machine::Assignment;
use grebewood_partition::PartitionId;
use grebewood_quota::{Resources, TeamQuota};

impl Scheduler {
    /// Whether holders may be given tasks and quota grants now: the limits are on record, and every member that was heard
    /// supports quota grants.
    pub(crate) fn grants_quota(&self, context: &Context) -> bool {
        self.enforces_guarantees(context)
            && context.holders_can_write()
            && !self.leader_quota.quota_grants_paused
            && !self.leader_quota.grant_write_refused
    }

    /// Whether tasks are preempted for teams below their guaranteed share.
    pub(crate) fn enforces_guarantees(&self, context: &Context) -> bool {
        context.supports_quota_grants() && self.limits_are_on_record()
    }

    /// Whether the partition's holder places tasks.
    pub(crate) fn holder_places(&self, partition: PartitionId) -> bool {
        self.leader_quota.placing_partitions.contains(&partition)
    }

    /// Whether the partition's holder is to be given tasks now: it places tasks, and has not been slow lately.
    pub(crate) fn may_delegate_to(&self, context: &Context, partition: PartitionId) -> bool {
        let holder_slow_until = self.leader_quota.holder_slow_until.get(&partition);
        let is_slow = holder_slow_until.is_some_and(|until| context.now.steady < *until);
        self.holder_places(partition) && !is_slow
    }

    /// A team's guaranteed share and limit: those in force, or those of the settings if quota grants are not supported.
    pub(crate) fn limit_of(&self, context: &Context, team: &str) -> Option<TeamQuota> {
        if context.supports_quota_grants() {
            self.leader_quota.limits.in_force().get(team)
        } else {
            Some(context.settings.teams.get(team)?.limit())
        }
    }

    /// The guaranteed shares and limits of all teams.
    pub(crate) fn team_limits(&self, context: &Context) -> Vec<(String, TeamQuota)> {
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

    /// The resources of a team's tasks, those included that holders are to place.
    pub(crate) fn needed_by(&self, team: &str) -> Resources {
        let delegated = self.leader_quota.grants.needed(team);
        self.used_by(team).saturating_add(delegated)
    }

    /// What of a team's limit is neither used nor granted to holders.
    pub(crate) fn room_under_limit(&self, context: &Context, team: &str) -> Resources {
        let limit = self.limit_of(context, team).unwrap_or_default();
        let granted = self.leader_quota.grants.total_charged(team);
        limit
            .limit
            .saturating_sub(self.used_by(team))
            .saturating_sub(granted)
    }

    /// The resources of a team's tasks, without those that holders place.
    fn used_by(&self, team: &str) -> Resources {
        self.usage.get(team).copied().unwrap_or_default()
    }

    /// Whether the amount fits what is left of a team's limit. If not, the holders are asked to give back what they do not
    /// need of their quota grants.
    pub(crate) fn fits_limit(&mut self, context: &Context, team: &str, amount: Resources) -> bool {
        let fits = amount.fits(self.room_under_limit(context, team));
        if !fits {
            self.leader_quota
                .teams_short_of_room
                .insert(team.to_string());
        }
        fits
    }

    /// Counts what an assignment takes of its team's limit, until it is proven gone.
    pub(crate) fn count_assignment(&mut self, assignment: &Assignment) {
        let (team, amount) = (&assignment.team, assignment.amount());
        match (assignment.by_holder, self.is_holder()) {
            (true, true) => self.holder_quota.grant.reserve(team, amount),
            // It is charged to the holder's quota grant when the leader learns of it.
            (true, false) => {}
            (false, _) => {
                let used = self.usage.entry(team.clone()).or_default();
                *used = used.saturating_add(amount);
            }
        }
    }

    /// The assignment on this machine is proven gone.
    pub(crate) fn discount_assignment(
        &mut self,
        context: &Context,
        machine: &str,
        assignment: &Assignment,
    ) {
        let (team, amount) = (&assignment.team, assignment.amount());
        match (assignment.by_holder, self.is_holder()) {
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

    /// Whether no task of the job is on a machine or delegated to a holder.
    pub(crate) fn is_off_machines(&self, index: JobIndex) -> bool {
        let job = self.jobs.get(index);
        job.is_none_or(|job| job.assignment_count() == 0 && job.delegated_count == 0)
    }
}
