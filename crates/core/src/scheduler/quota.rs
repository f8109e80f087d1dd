//! Team quotas while several controllers place tasks.
//!
//! The leader gives the holder of a partition two things: tasks that it is to place, and a quota grant, which
//! says how much of each team's limit these may use. The holder chooses the machine, writes the assignment to a
//! page of its own and launches it. So tasks go on starting when the leader ends.
//!
//! A task never has two writers: a holder's write depends on its claim and on the record of the leader that delegated
//! the task ([`write_conditions`](crate::scheduler::write_conditions)), which outlives that leader by its lease. A
//! new leader reads all pages after its grant, and from then on holders write nothing until they have heard from it: what
//! was not on record by then, it places anew.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::jobs::JobIndex;
use crate::state::machine::Assignment;
use grebewood_partition::PartitionId;
use grebewood_quota::{Resources, TeamQuota};

impl Scheduler {
    /// Whether holders may be given tasks and allotments now: the limits are on record, and every member
    /// that was heard understands them.
    pub(crate) fn grants_quota(&self, context: &Context) -> bool {
        let able = self.enforces_guarantees(context) && context.holders_can_write();
        able && !self.leader_quota.paused && !self.leader_quota.refused
    }

    /// Whether room is made for teams below their guarantee.
    pub(crate) fn enforces_guarantees(&self, context: &Context) -> bool {
        context.supports_quota_grants() && self.limits_are_on_record()
    }

    /// Whether the partition's holder places tasks.
    pub(crate) fn holder_places(&self, partition: PartitionId) -> bool {
        self.leader_quota.placing.contains(&partition)
    }

    /// Whether the partition's holder is to be given tasks now: it places them in time.
    pub(crate) fn may_delegate_to(&self, context: &Context, partition: PartitionId) -> bool {
        let slow_until = self.leader_quota.slow_until.get(&partition);
        let slow = slow_until.is_some_and(|until| context.now.steady < *until);
        self.holder_places(partition) && !slow
    }

    /// A team's limits: those in force, or those of the settings where no allotments are granted.
    pub(crate) fn limit_of(&self, context: &Context, team: &str) -> Option<TeamQuota> {
        match context.supports_quota_grants() {
            true => self.leader_quota.limits.in_force().get(team),
            false => Some(context.settings.teams.get(team)?.limit()),
        }
    }

    /// All teams' limits.
    pub(crate) fn team_limits(&self, context: &Context) -> Vec<(String, TeamQuota)> {
        let settings = context.settings.limits();
        let limits = match context.supports_quota_grants() {
            true => self.leader_quota.limits.in_force(),
            false => &settings,
        };
        let limits = limits.iter();
        limits
            .map(|(team, limit)| (team.to_string(), limit))
            .collect()
    }

    /// What a team's tasks take, those included that holders are to place.
    pub(crate) fn needed_by(&self, team: &str) -> Resources {
        let own = self.usage.get(team).copied().unwrap_or_default();
        own.plus(self.leader_quota.allotments.needed(team))
    }

    /// What of a team's ceiling is neither used nor allotted.
    pub(crate) fn room_under_limit(&self, context: &Context, team: &str) -> Resources {
        let limit = self.limit_of(context, team).unwrap_or_default();
        let own = self.usage.get(team).copied().unwrap_or_default();
        limit
            .limit
            .minus(own)
            .minus(self.leader_quota.allotments.total(team))
    }

    /// Whether so much of a team's ceiling is left. If not, what holders do not need is asked back.
    pub(crate) fn fits_limit(&mut self, context: &Context, team: &str, amount: Resources) -> bool {
        let fits = amount.fits(self.room_under_limit(context, team));
        if !fits {
            self.leader_quota.pressed.insert(team.to_string());
        }
        fits
    }

    /// Counts what an assignment takes of its team's limit, until it is proven gone.
    pub(crate) fn count_assignment(&mut self, a: &Assignment) {
        if a.by_holder && self.is_holder() {
            self.holder_quota.allotment.take(&a.team, a.amount());
            return;
        }
        // What a holder placed is charged to its allotment when the leader learns of it.
        if !a.by_holder {
            let used = self.usage.entry(a.team.clone()).or_default();
            *used = used.plus(a.amount());
        }
    }

    /// The assignment on this machine is proven gone.
    pub(crate) fn discount_assignment(&mut self, context: &Context, machine: &str, a: &Assignment) {
        match (a.by_holder, self.is_holder()) {
            (true, true) => self.holder_quota.allotment.give_back(&a.team, a.amount()),
            (true, false) => {
                let partition = self.machines.get(machine).and_then(|m| m.partition);
                if let Some(partition) = partition {
                    let now = context.now.steady;
                    let allotments = &mut self.leader_quota.allotments;
                    allotments.remove_placed(partition, &a.team, a.amount(), now);
                }
            }
            (false, _) => {
                if let Some(used) = self.usage.get_mut(&a.team) {
                    *used = used.minus(a.amount());
                }
            }
        }
    }

    /// Whether nothing of the job is on a machine or given to a holder.
    pub(crate) fn is_off_machines(&self, index: JobIndex) -> bool {
        let job = self.jobs.get(index);
        job.is_none_or(|job| job.live() == 0 && job.delegated == 0)
    }
}
