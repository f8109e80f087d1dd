//! Loads and applies the team quotas in force, and enforces limits that were lowered.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::jobs::JobIndex;
use crate::state::machine::{Assignment, ObservedStatus};
use crate::state::write_buffer::RecordId;
use crate::{Micros, SECOND};
use grebewood_partition::PartitionId;
use grebewood_quota::{Limits, LimitsInForce, Resources, TeamAmounts};
use grebewood_wire::http::{from_value, KeyValue, Shape};
use grebewood_wire::peer::TaskAttempt;
use grebewood_wire::records::{
    LimitsRecord, QuotaGrantRecord, TeamQuotaRecord, QUOTA_LIMITS_KEY, QUOTA_PREFIX,
};
use grebewood_wire::Value;
use log::{error, info};
use std::cmp::Reverse;

/// Time between two checks for teams that exceed their limit.
const ENFORCEMENT_INTERVAL_US: Micros = SECOND;

/// Time by which the write of changed limits is scheduled ahead of other writes.
const LIMITS_WRITE_ADVANCE_US: Micros = 60 * SECOND;

impl Scheduler {
    /// Loads the team quotas and the quota grants that were read from the key-value store into the state of a new
    /// leader. Schedules the deletion of grants whose partition does not exist.
    pub(crate) fn load_quota(&mut self, context: &Context, entries: Vec<KeyValue<Value>>) {
        if !context.supports_quota_grants() {
            return;
        }
        let mut recorded = None;
        let mut grants = Vec::new();
        for entry in entries {
            let mod_revisions = &mut self.write_buffer.mod_revisions;
            mod_revisions.insert(entry.key.clone(), entry.mod_revision);
            if entry.key == QUOTA_LIMITS_KEY {
                recorded = recorded_limits(&entry.value);
                continue;
            }
            let id = entry
                .key
                .strip_prefix(QUOTA_PREFIX)
                .and_then(|n| n.parse().ok());
            match id.filter(|id| self.remote_partitions.record(*id).is_some()) {
                Some(id) => grants.push((id, entry)),
                None => {
                    let due = context.now.steady + SECOND;
                    let stale = RecordId::Deleted(entry.key);
                    self.write_buffer.mark_dirty_lazily(stale, due);
                }
            }
        }
        self.load_limits(context, recorded);
        for (id, entry) in grants {
            self.load_grant(id, &entry);
        }
    }

    fn load_limits(&mut self, context: &Context, recorded: Option<Limits>) {
        let settings = &context.settings;
        let others = settings.siblings.iter().map(|s| s.member.clone());
        let own = settings.limits();
        self.leader_quota.limits =
            LimitsInForce::new(recorded.clone(), &settings.member, own, others);
        if recorded.as_ref() != Some(self.leader_quota.limits.in_force()) {
            self.write_limits(context);
        }
    }

    fn load_grant(&mut self, id: PartitionId, entry: &KeyValue<Value>) {
        match from_value::<QuotaGrantRecord>(&entry.value) {
            Ok(record) => self.leader_quota.grants.load(id, &record),
            Err(error) => {
                error!(
                    key = entry.key, partition = id, error:% = error;
                    "cannot decode a quota grant record; counting it as the full limit of each team"
                );
                let in_force = self.leader_quota.limits.in_force().iter();
                let limits = in_force.map(|(team, quota)| (team.to_string(), quota.limit));
                let limits: TeamAmounts = limits.collect();
                self.leader_quota.grants.load_unreadable(id, limits);
            }
        }
    }

    /// Returns whether the quotas in force are written to the key-value store, so that the writes of holders can be
    /// conditional on them.
    pub(crate) fn limits_are_in_store(&self) -> bool {
        self.write_buffer
            .mod_revisions
            .contains_key(QUOTA_LIMITS_KEY)
            && !self.write_buffer.is_dirty(&RecordId::Limits)
    }

    fn write_limits(&mut self, context: &Context) {
        let due = context.now.steady.saturating_sub(LIMITS_WRITE_ADVANCE_US);
        self.write_buffer.mark_dirty_by(RecordId::Limits, due);
    }

    /// Returns the quotas of all teams that are in force, as the record that the leader writes to the key-value store.
    pub(crate) fn limits_record(&self) -> LimitsRecord {
        self.leader_quota.limits.in_force().to_record()
    }

    /// Applies the quotas in the settings of a member, which the member has announced to this leader.
    pub(crate) fn on_limits_announced(
        &mut self,
        context: &mut Context,
        member: &str,
        teams: &[TeamQuotaRecord],
    ) {
        if !self.is_loaded() || self.is_holder() {
            return;
        }
        let before = self.leader_quota.limits.in_force().clone();
        let announced = Limits::from_teams(teams);
        if !self
            .leader_quota
            .limits
            .apply_announcement(member, announced)
        {
            return;
        }
        let lowered = self.leader_quota.limits.in_force().lowered_since(&before);
        info!(
            member = member, lowered_teams:? = lowered;
            "team quotas in force changed after a member announced its settings"
        );
        for team in &lowered {
            self.leader_quota.grants.cancel_unrecorded_growth(team);
        }
        // A placement that is decided but not being written must not be written to the key-value store after the lower
        // limit.
        self.undo_unlaunched_placements(context, &lowered);
        self.write_limits(context);
        self.placement.request_round(context.now.steady);
    }

    /// Removes the assignments of these teams that were not launched, and revokes their delegated tasks.
    fn undo_unlaunched_placements(&mut self, context: &mut Context, teams: &[String]) {
        let is_undone = |a: &Assignment| a.launched.is_none() && teams.contains(&a.team);
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            while let Some(assignment_index) = self.assignment_index(&name, is_undone) {
                self.remove_assignment(context, &name, assignment_index);
            }
        }
        let jobs = self.jobs.iter();
        let delegated =
            jobs.filter(|(_, job)| job.delegated_count > 0 && teams.contains(&job.spec.team));
        let delegated: Vec<JobIndex> = delegated.map(|(index, _)| index).collect();
        for index in delegated {
            self.revoke_delegated_tasks(context, index);
        }
    }

    /// Returns whether the resources of a team's tasks and the leader's quota grants to partition holders for the team
    /// together exceed the team's limit.
    pub(crate) fn is_over_limit(&self, context: &Context, team: &str) -> bool {
        let limit = self.team_quota(context, team).unwrap_or_default().limit;
        let own = self.usage.get(team).copied().unwrap_or_default();
        let used = own.saturating_add(self.leader_quota.grants.total_charged(team));
        !used.fits(limit)
    }

    /// Stops running tasks of teams that exceed a lowered limit, those that were placed last first. Only replicas
    /// and tasks that write checkpoints are stopped; all other tasks run to their end.
    pub(crate) fn enforce_limits(&mut self, context: &mut Context) {
        let now = context.now.steady;
        if !context.supports_quota_grants()
            || now < self.leader_quota.enforced_at + ENFORCEMENT_INTERVAL_US
        {
            return;
        }
        self.leader_quota.enforced_at = now;
        let mut running = TeamAmounts::new();
        // Only tasks that a heartbeat has shown count: those listed on the pages of an earlier leader may be gone.
        for a in self.assignments().filter(|a| counts_as_running(a)) {
            let sum = running.entry(a.team.clone()).or_default();
            *sum = sum.saturating_add(a.amount());
        }
        for (team, running) in running {
            let limit = self.team_quota(context, &team).unwrap_or_default().limit;
            let excess = running.saturating_sub(limit);
            if !excess.is_zero() {
                self.stop_excess(context, &team, excess);
            }
        }
    }

    fn stop_excess(&mut self, context: &mut Context, team: &str, mut excess: Resources) {
        for candidate in self.stop_candidates(team) {
            if excess.is_zero() {
                break;
            }
            excess = excess.saturating_sub(candidate.amount);
            info!(
                team = team, attempt = candidate.id.attempt, task = candidate.id.task;
                "stopping a task of a team that exceeds its lowered limit"
            );
            self.stop_attempt(context, candidate.id, candidate.grace);
        }
    }

    /// Returns the team's tasks that may be stopped, those that were placed last first.
    fn stop_candidates(&self, team: &str) -> Vec<StopCandidate> {
        let running = self.assignments();
        let running = running.filter(|a| a.team == team && counts_as_running(a));
        let mut candidates: Vec<StopCandidate> =
            running.filter_map(|a| self.stop_candidate(a)).collect();
        candidates.sort_by_key(|candidate| Reverse((candidate.placed_at, candidate.id)));
        candidates
    }

    fn stop_candidate(&self, assignment: &Assignment) -> Option<StopCandidate> {
        let job = self.jobs.get(assignment.job)?;
        // A gang cannot run without one of its tasks.
        if job.shape == Shape::Gang || !(job.writes_checkpoints() || job.is_daemon()) {
            return None;
        }
        Some(StopCandidate {
            placed_at: assignment.decided_at,
            id: assignment.id(),
            grace: job.checkpoint_grace(),
            amount: assignment.amount(),
        })
    }
}

/// A task that may be stopped because its team's limit was lowered.
struct StopCandidate {
    /// When the task was placed, in microseconds.
    placed_at: Micros,
    id: TaskAttempt,
    /// Time that the task gets to write a checkpoint, in microseconds.
    grace: Micros,
    amount: Resources,
}

/// Returns whether a heartbeat has shown the task and it is not being stopped.
fn counts_as_running(a: &Assignment) -> bool {
    a.observed_status != ObservedStatus::Never && a.stop.is_none()
}

/// Returns the team quotas from their record; `None` if the record cannot be decoded.
fn recorded_limits(value: &Value) -> Option<Limits> {
    match from_value::<LimitsRecord>(value) {
        Ok(record) => Some(Limits::from_teams(&record.teams)),
        Err(error) => {
            error!(
                key = QUOTA_LIMITS_KEY, error:% = error;
                "cannot decode the record of team quotas; using this member's settings"
            );
            None
        }
    }
}
