//! The leader: limits in force, quota grants, and what it knows of each partition.

use crate::model::messages::{Answer, GrantWrite, Orders};
use crate::model::store::{LimitOnRecord, Store};
use crate::model::{limits_of, MEMBERS, PARTITIONS, TASK, TEAM};
use grebewood_quota::{GrantReduction, LimitsInForce, QuotaGrants, Resources};

/// What the leader knows of a partition.
#[derive(Clone, Copy, Default)]
pub struct PartitionView {
    claim: u64,
    queued: u64,
    placed: u64,
    ended: u64,
    /// The sequence number of the message that has to be answered.
    pub awaits: Option<u64>,
    /// Tasks of the claim before, until the next holder has told what is on its pages.
    of_previous_claim: u64,
    /// The holder has answered under this claim.
    answered: bool,
}

pub struct Leader {
    token: u64,
    pub limits: LimitsInForce,
    grants: QuotaGrants,
    pub partitions: [PartitionView; PARTITIONS],
    /// The partition whose grant is being written.
    writing: Option<usize>,
    /// A task lacked room under the limit lately.
    short_of_room: bool,
    sequence: u64,
}

impl Leader {
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

    fn limit(&self) -> Resources {
        let quota = self.limits.in_force().get(TEAM);
        quota.unwrap_or_default().limit
    }

    /// What is charged against the team's limit.
    fn charged(&self, store: &Store) -> Resources {
        let by_leader = TASK.times(store.leader_tasks);
        by_leader.saturating_add(self.grants.total_charged(TEAM))
    }

    pub fn room(&self, store: &Store) -> Resources {
        self.limit().saturating_sub(self.charged(store))
    }

    fn is_over_limit(&self, store: &Store) -> bool {
        !self.charged(store).fits(self.limit())
    }

    /// Gives the partition's holder a task, if there is room for it.
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

    /// Writes the partition's grant, if it is not what is on record.
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

    pub fn is_writing(&self, partition: usize) -> bool {
        self.writing == Some(partition)
    }

    /// Reads what became of the write in flight.
    pub fn read_back(&mut self, store: &Store) {
        let Some(partition) = self.writing.take() else {
            return;
        };
        let id = partition as u64;
        if store.grants[partition].record.version == self.grants.record_version(id) {
            self.grants.on_record_written(id);
        }
    }

    /// The next orders for the partition's holder, unless the last ones have to be answered first.
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

    pub fn on_answer(&mut self, answer: &Answer, now: u64) {
        let id = answer.partition as u64;
        let view = &mut self.partitions[answer.partition];
        let awaited = answer.term == self.token && view.awaits == Some(answer.sequence);
        if !awaited || view.claim != answer.claim {
            return;
        }
        view.awaits = None;
        if !view.answered {
            view.answered = true;
            // What the holder before was given and did not place, nobody will place now.
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
        self.grants.on_usage_bound(id, &answer.held, now);
    }

    /// Writes the limit in force. The leader does it itself, so it starts nothing beyond it meanwhile.
    pub fn write_limit(&mut self, store: &mut Store) {
        let tasks = self.limit().cpus / TASK.cpus;
        if tasks < store.limit.tasks {
            self.grants.cancel_unrecorded_growth(TEAM);
        }
        if tasks != store.limit.tasks {
            store.limit = LimitOnRecord {
                mod_revision: store.next_revision(),
                tasks,
            };
        }
    }
}
