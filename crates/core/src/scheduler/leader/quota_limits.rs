//! Which team quotas are in force, and what happens when a limit is lowered.

use crate::context::Context;
use crate::scheduler::agents::heartbeats::grace;
use crate::scheduler::Scheduler;
use crate::state::jobs::JobIndex;
use crate::state::machine::{Assignment, ObservedStatus};
use crate::state::write_buffer::RecordId;
use crate::{micros, Micros, SECOND};
use grebewood_quota::{Limits, LimitsInForce, Resources, TeamAmounts};
use grebewood_wire::http::{from_value, KeyValue, Shape};
use grebewood_wire::peer::TaskAttempt;
use grebewood_wire::records::{LimitsRecord, QuotaGrantRecord, TeamQuotaRecord, LIMITS, QUOTA};
use grebewood_wire::Value;
use log::{error, info};

/// Between two looks at teams that use more than their ceiling.
const ENFORCE_INTERVAL: Micros = SECOND;

/// The write of lowered limits goes ahead of its turn by so much.
const LIMITS_AHEAD: Micros = 60 * SECOND;

impl Scheduler {
    /// Takes over limits and allotments on record, as a new leader.
    pub(crate) fn load_quota(&mut self, context: &Context, entries: Vec<KeyValue<Value>>) {
        if !context.supports_quota_grants() {
            return;
        }
        let mut recorded = None;
        let mut allotments = Vec::new();
        for entry in entries {
            self.write_buffer
                .mod_revisions
                .insert(entry.key.clone(), entry.mod_revision);
            if entry.key == LIMITS {
                match from_value::<LimitsRecord>(&entry.value) {
                    Ok(record) => recorded = Some(Limits::from_teams(&record.teams)),
                    Err(e) => error!("record {LIMITS}: {e}; the settings' limits stand for it"),
                }
                continue;
            }
            let id = entry.key.strip_prefix(QUOTA).and_then(|n| n.parse().ok());
            match id.filter(|id| self.remote_partitions.record(*id).is_some()) {
                Some(id) => allotments.push((id, entry)),
                None => {
                    let due = context.now.steady + SECOND;
                    let stale = RecordId::Deleted(entry.key);
                    self.write_buffer.mark_dirty_lazily(stale, due);
                }
            }
        }
        let settings = &context.settings;
        let others = settings.siblings.iter().map(|s| s.member.clone());
        let own = settings.limits();
        self.leader_quota.limits =
            LimitsInForce::new(recorded.clone(), &settings.member, own, others);
        if recorded.as_ref() != Some(self.leader_quota.limits.in_force()) {
            self.write_limits(context);
        }
        for (id, entry) in allotments {
            match from_value::<QuotaGrantRecord>(&entry.value) {
                Ok(record) => self.leader_quota.allotments.load(id, &record),
                Err(e) => {
                    error!("record {}: {e}; counted as all of each ceiling", entry.key);
                    let in_force = self.leader_quota.limits.in_force().iter();
                    let ceilings = in_force.map(|(team, limit)| (team.to_string(), limit.limit));
                    let ceilings: TeamAmounts = ceilings.collect();
                    self.leader_quota.allotments.load_unreadable(id, ceilings);
                }
            }
        }
    }

    /// Whether the limits in force are on record, so that holders' writes can depend on them.
    pub(crate) fn limits_are_on_record(&self) -> bool {
        self.write_buffer.mod_revisions.contains_key(LIMITS)
            && !self.write_buffer.is_dirty(&RecordId::Limits)
    }

    fn write_limits(&mut self, context: &Context) {
        let due = context.now.steady.saturating_sub(LIMITS_AHEAD);
        self.write_buffer.mark_dirty_by(RecordId::Limits, due);
    }

    /// The limits in force, as a record.
    pub(crate) fn limits_record(&self) -> LimitsRecord {
        self.leader_quota.limits.in_force().to_record()
    }

    /// A member has answered this leader what its settings say.
    pub(crate) fn on_limits_announced(
        &mut self,
        context: &mut Context,
        member: &str,
        teams: &[TeamQuotaRecord],
    ) {
        if !self.loaded() || self.is_holder() {
            return;
        }
        let before = self.leader_quota.limits.in_force().clone();
        if !self
            .leader_quota
            .limits
            .announce(member, Limits::from_teams(teams))
        {
            return;
        }
        let lowered = self.leader_quota.limits.in_force().lowered_since(&before);
        info!("limits in force have changed, as {member} has them; lowered for {lowered:?}");
        for team in &lowered {
            self.leader_quota.allotments.cancel_unrecorded_growth(team);
        }
        // What is decided and not under way must not come on record after the lower figure.
        self.undo_unlaunched(context, &lowered);
        self.write_limits(context);
        self.placement.request_round(context.now.steady);
    }

    /// Takes back what was placed for these teams and not launched.
    fn undo_unlaunched(&mut self, context: &mut Context, teams: &[String]) {
        let undone = |a: &Assignment| a.launched.is_none() && teams.contains(&a.team);
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            while let Some(at) = self.position(&name, undone) {
                self.remove_assignment(context, &name, at);
            }
        }
        let jobs = self.jobs.iter();
        let theirs = jobs.filter(|(_, job)| job.delegated > 0 && teams.contains(&job.spec.team));
        let theirs: Vec<JobIndex> = theirs.map(|(index, _)| index).collect();
        for index in theirs {
            self.revoke_job(context, index);
        }
    }

    /// Whether more of the team's ceiling is used or allotted than there is.
    pub(crate) fn is_over_limit(&self, context: &Context, team: &str) -> bool {
        let limit = self.limit_of(context, team).unwrap_or_default().limit;
        let own = self.usage.get(team).copied().unwrap_or_default();
        let used = own.plus(self.leader_quota.allotments.total(team));
        !used.fits(limit)
    }

    /// Stops what runs of a team beyond its ceiling, which was lowered: the youngest tasks first, of those
    /// that save their progress or never end by themselves. All others run to their end.
    pub(crate) fn enforce_limits(&mut self, context: &mut Context) {
        let now = context.now.steady;
        if !context.supports_quota_grants()
            || now < self.leader_quota.enforced_at + ENFORCE_INTERVAL
        {
            return;
        }
        self.leader_quota.enforced_at = now;
        let mut running = TeamAmounts::new();
        // Only what workers have reported: what an earlier leader's pages list may be gone.
        for a in self.assignments().filter(|a| counts_as_running(a)) {
            let sum = running.entry(a.team.clone()).or_default();
            *sum = sum.plus(a.amount());
        }
        for (team, running) in running {
            let limit = self.limit_of(context, &team).unwrap_or_default().limit;
            let excess = running.minus(limit);
            if !excess.is_zero() {
                self.drain(context, &team, excess);
            }
        }
    }

    fn drain(&mut self, context: &mut Context, team: &str, mut excess: Resources) {
        let drainable = |a: &&Assignment| a.team == team && counts_as_running(a);
        let mut victims: Vec<Drained> = Vec::new();
        for a in self.assignments().filter(drainable) {
            let Some(job) = self.jobs.get(a.job) else {
                continue;
            };
            let saves = job.spec.checkpoint_interval_s > 0.0;
            // A gang without one of its tasks is none.
            if job.shape == Shape::Gang || !(saves || job.is_daemon()) {
                continue;
            }
            let time = match saves {
                true => grace(micros(job.spec.checkpoint_duration_s)),
                false => 0,
            };
            victims.push(Drained {
                decided: a.decided,
                attempt: a.id(),
                grace: time,
                amount: a.amount(),
            });
        }
        victims.sort_by_key(|victim| std::cmp::Reverse((victim.decided, victim.attempt)));
        for victim in victims {
            if excess.is_zero() {
                break;
            }
            excess = excess.minus(victim.amount);
            info!(
                "{team}: its ceiling was lowered, {:?} is stopped",
                victim.attempt
            );
            self.stop_attempt(context, victim.attempt, victim.grace);
        }
    }
}

/// A task that may be stopped because its team's ceiling was lowered.
struct Drained {
    decided: Micros,
    attempt: TaskAttempt,
    grace: Micros,
    amount: Resources,
}

/// Whether a worker has reported the task and it is not being stopped.
fn counts_as_running(a: &Assignment) -> bool {
    a.seen != ObservedStatus::Never && a.stop.is_none()
}
