//! Model of the leader: the limits in force, the quota grants, and its knowledge of each partition.

use crate::model::messages::{Answer, GrantWrite, Orders};
use crate::model::store::{RecordedLimit, Store};
use crate::model::{limits_of, MEMBERS, PARTITIONS, TASK, TEAM};
use grebewood_quota::{GrantReduction, LimitsInForce, QuotaGrants, Resources};

/// Knowledge of the leader about one partition.
#[derive(Clone, Copy, Default)]
pub struct PartitionView {
    /// Revision of the claim that the leader knows.
    claim: u64,
    /// Number of tasks that are queued at the holder.
    queued: u64,
    /// Number of tasks that the holder has placed under this claim.
    placed: u64,
    /// Number of tasks that have ended under this claim.
    ended: u64,
    /// Sequence number of the orders whose answer the leader awaits from the holder.
    pub awaits: Option<u64>,
    /// Number of tasks placed under the previous claim, until the next holder has reported the tasks on its pages.
    of_previous_claim: u64,
    /// Whether the holder has answered under this claim.
    answered: bool,
}

/// Leader of the cluster.
pub struct Leader {
    /// Fencing token of the leader.
    token: u64,
    pub limits: LimitsInForce,
    grants: QuotaGrants,
    pub partitions: [PartitionView; PARTITIONS],
    /// Partition whose grant is being written.
    writing: Option<usize>,
    /// Whether the last task that the leader tried to queue at a holder did not fit under the team's limit.
    short_of_room: bool,
    /// Sequence number of the last orders that the leader sent to any holder.
    sequence: u64,
}

impl Leader {
    /// Creates a leader from the records in the store and the limits in the members' settings.
    pub fn load(store: &Store, settings: [u64; 2]) -> Leader {
        let recorded = Some(limits_of(store.limit.tasks));
        let others = MEMBERS.iter().skip(1).map(|member| member.to_string());
        let mut grants = QuotaGrants::default();
        let mut partitions = [PartitionView::default(); PARTITIONS];
        for (partition, view) in partitions.iter_mut().enumerate() {
            grants.load(partition as u64, &store.grants[partition].record);
            for _ in 0..store.pages[partition] {
                grants.add_placed(partition as u64, TEAM, TASK);
            }
            view.claim = store.claims[partition];
            view.placed = store.pages[partition];
            view.answered = true;
        }
        Leader {
            token: store.leader,
            limits: LimitsInForce::new(recorded, MEMBERS[0], limits_of(settings[0]), others),
            grants,
            partitions,
            writing: None,
            short_of_room: false,
            sequence: 0,
        }
    }

    /// Returns the team's limit in force.
    fn limit(&self) -> Resources {
        let quota = self.limits.in_force().get(TEAM);
        quota.unwrap_or_default().limit
    }

    /// Returns the amount that is charged against the team's limit.
    fn charged(&self, store: &Store) -> Resources {
        let by_leader = TASK.times(store.leader_tasks);
        by_leader.saturating_add(self.grants.total_charged(TEAM))
    }

    /// Returns the amount that is left of the team's limit.
    pub fn room(&self, store: &Store) -> Resources {
        self.limit().saturating_sub(self.charged(store))
    }

    /// Returns whether more is charged than the team's limit.
    fn is_over_limit(&self, store: &Store) -> bool {
        !self.charged(store).fits(self.limit())
    }

    /// Queues a task at the partition's holder, if there is room for it.
    pub fn queue(&mut self, store: &Store, partition: usize) {
        if self.is_over_limit(store) {
            return;
        }
        let room = self.room(store);
        let id = partition as u64;
        let queued = self
            .grants
            .add_queued(id, TEAM, TASK, Resources::ZERO, room);
        self.short_of_room = queued.is_err();
        if queued.is_ok() {
            self.partitions[partition].queued += 1;
        }
    }

    /// Returns the write of the partition's grant, if it differs from the record and no other write is in flight.
    pub fn write_grant(&mut self, store: &Store, partition: usize) -> Option<GrantWrite> {
        let id = partition as u64;
        if self.writing.is_some() || !self.grants.differs_from_record(id) {
            return None;
        }
        self.writing = Some(partition);
        Some(GrantWrite {
            partition,
            record: self.grants.build_record(id, store.claims[partition]),
            leader: self.token,
            mod_revision: store.grants[partition].mod_revision,
            limits_revision: store.limit.mod_revision,
        })
    }

    /// Returns whether the partition's grant is being written.
    pub fn is_writing(&self, partition: usize) -> bool {
        self.writing == Some(partition)
    }

    /// Reads the outcome of the write in flight from the store.
    pub fn read_back(&mut self, store: &Store) {
        let Some(partition) = self.writing.take() else {
            return;
        };
        let id = partition as u64;
        if store.grants[partition].record.version == self.grants.record_version(id) {
            self.grants.on_record_written(id);
        }
    }

    /// Returns the next orders for the partition's holder, unless the leader still awaits the answer to the last
    /// orders.
    pub fn orders(&mut self, store: &Store, partition: usize, now: u64) -> Option<Orders> {
        let reduction = match (self.is_over_limit(store), self.short_of_room) {
            (true, _) => GrantReduction::All,
            (false, true) => GrantReduction::Slack,
            (false, false) => GrantReduction::IdleSlack,
        };
        let view = &mut self.partitions[partition];
        if view.awaits.is_some() {
            return None;
        }
        if view.claim != store.claims[partition] {
            *view = PartitionView {
                claim: store.claims[partition],
                queued: view.queued,
                of_previous_claim: view.of_previous_claim + view.placed - view.ended,
                ..PartitionView::default()
            };
        }
        self.sequence += 1;
        view.awaits = Some(self.sequence);
        Some(Orders {
            partition,
            claim: view.claim,
            term: self.token,
            sequence: self.sequence,
            limits_revision: store.limit.mod_revision,
            usable: self.grants.usable(partition as u64, now, |_| reduction),
        })
    }

    /// Applies a holder's answer to orders of this leader. Ignores the answer if the leader does not await it or if
    /// the holder gave it under another claim than the one that the leader knows.
    pub fn on_answer(&mut self, answer: &Answer, now: u64) {
        let id = answer.partition as u64;
        let view = &mut self.partitions[answer.partition];
        let is_awaited = answer.term == self.token && view.awaits == Some(answer.sequence);
        if !is_awaited || view.claim != answer.claim {
            return;
        }
        view.awaits = None;
        if !view.answered {
            view.answered = true;
            // Tasks that the previous holder had in its queue and did not place will not be placed any more.
            for _ in 0..std::mem::take(&mut view.of_previous_claim) {
                self.grants.remove_placed(id, TEAM, TASK, now);
            }
            for _ in 0..std::mem::take(&mut view.queued) {
                self.grants.remove_queued(id, TEAM, TASK, now);
            }
        }
        for _ in view.placed..answer.placed {
            if view.queued > 0 {
                view.queued -= 1;
                self.grants.remove_queued(id, TEAM, TASK, now);
            }
            self.grants.add_placed(id, TEAM, TASK);
        }
        for _ in view.ended..answer.ended {
            self.grants.remove_placed(id, TEAM, TASK, now);
        }
        (view.placed, view.ended) = (answer.placed, answer.ended);
        self.grants.on_usage_bound(id, &answer.usage_bound, now);
    }

    /// Writes the limit in force. In this model the write takes effect at once, so the leader starts no task
    /// beyond the limit in the meantime.
    pub fn write_limit(&mut self, store: &mut Store) {
        let tasks = self.limit().cpus / TASK.cpus;
        if tasks < store.limit.tasks {
            self.grants.cancel_unrecorded_growth(TEAM);
        }
        if tasks != store.limit.tasks {
            store.limit = RecordedLimit {
                mod_revision: store.next_revision(),
                tasks,
            };
        }
    }
}
