//! Runs the periodic work of a scheduler.

use crate::context::Context;
use crate::scheduler::store_reads::Watch;
use crate::scheduler::{Scheduler, STATS_WRITE_INTERVAL_US};
use crate::state::write_buffer::RecordId;
use crate::{Micros, Stopwatch, SECOND};

/// Delay of the write of changed statistics.
const STATS_WRITE_DELAY_US: Micros = SECOND;

impl Scheduler {
    /// Returns when `run` is next due, in microseconds of the steady clock.
    pub fn next_wake(&self) -> Micros {
        if self.is_lease_uncertain {
            return self.lease_renewal_at;
        }
        if let Some(loading) = &self.loading {
            let next_read = loading.next_due().unwrap_or(Micros::MAX);
            return self.lease_renewal_at.min(next_read);
        }
        let watches = self.watches.values().filter_map(Watch::next_due);
        let shared = watches.fold(self.lease_renewal_at, Micros::min);
        let shared = shared.min(self.next_flush_at());
        if self.is_holder() {
            shared.min(self.next_holder_wake())
        } else {
            shared.min(self.next_leader_wake())
        }
    }

    fn next_leader_wake(&self) -> Micros {
        let held = if self.held_heartbeats.is_empty() {
            Micros::MAX
        } else {
            self.next_held_deadline
        };
        self.remote_partitions
            .next_wake()
            .min(held)
            .min(self.long_polls.next_deadline())
            .min(self.placement.next_at)
            .min(self.next_machine_check)
            .min(self.fleet.next_wake())
            .min(self.next_progress_at)
    }

    /// Does everything that is due.
    pub(crate) fn run(&mut self, context: &mut Context, watch: &mut dyn Stopwatch) {
        if context.now.steady >= self.lease_renewal_at {
            self.renew_lease(context);
        }
        if self.is_lease_uncertain {
            return;
        }
        if self.loading.is_some() {
            return self.run_loading(context);
        }
        self.run_watches(context);
        if self.is_holder() {
            self.run_holder(context, watch)
        } else {
            self.run_leader(context, watch)
        }
    }

    fn run_leader(&mut self, context: &mut Context, watch: &mut dyn Stopwatch) {
        self.check_machines(context);
        self.enforce_limits(context);
        self.run_placement(context, watch);
        self.run_fleet(context);
        self.run_stats(context);
        self.run_flush(context);
        self.run_provision_sweep(context);
        self.run_held_heartbeats(context);
        self.run_progress(context);
    }

    fn run_stats(&mut self, context: &Context) {
        let now = context.now.steady;
        if now < self.next_stats_at {
            return;
        }
        self.next_stats_at = now + STATS_WRITE_INTERVAL_US;
        if self.stats.changed {
            self.stats.changed = false;
            self.write_buffer
                .mark_dirty_by(RecordId::Stats, now + STATS_WRITE_DELAY_US);
        }
    }
}
