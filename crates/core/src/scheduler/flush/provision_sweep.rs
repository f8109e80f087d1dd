//! Deletes records of provisioning requests that a late transaction restores in the key-value store.
//!
//! A flush without a response may contain the record of a provisioning request that is then written again and deleted.
//! If the store applies the first flush after that, the record is in the store again, because the condition of that
//! flush, that there is no such record, holds again. The next leader would provision a machine for it. For some time
//! after a flush without a response, the leader therefore lists the records of requests in the store repeatedly and
//! deletes those that are not its own.

use crate::calls::SchedulerCall;
use crate::context::Context;
use crate::scheduler::store_reads::LIST_PAGE_KEYS;
use crate::scheduler::Scheduler;
use crate::state::write_buffer::RecordId;
use crate::{Micros, SECOND};
use grebewood_wire::http::KeyValueList;
use grebewood_wire::records::PROVISION_PREFIX;
use log::warn;

/// Interval between two lists of the records of provisioning requests in the store.
const SWEEP_INTERVAL_US: Micros = 20 * SECOND;

/// Time after a flush without a response during which the records of provisioning requests are listed.
const SWEEP_DURATION_US: Micros = 300 * SECOND;

impl Scheduler {
    /// Starts to list the records of provisioning requests in the store repeatedly, for a limited time.
    pub(crate) fn start_provision_sweep(&mut self, context: &Context) {
        let now = context.now.steady;
        self.provision_sweep_at = now + SWEEP_INTERVAL_US;
        self.provision_sweep_until = now + SWEEP_DURATION_US;
    }

    /// Lists the records of provisioning requests in the store if that is due.
    pub(crate) fn run_provision_sweep(&mut self, context: &mut Context) {
        let now = context.now.steady;
        if now < self.provision_sweep_at || now > self.provision_sweep_until {
            return;
        }
        self.provision_sweep_at = now + SWEEP_INTERVAL_US;
        let purpose = self.call_purpose(SchedulerCall::List {
            prefix: PROVISION_PREFIX.into(),
        });
        let path = format!("/kv?prefix={PROVISION_PREFIX}&page={LIST_PAGE_KEYS}");
        context.get_from_store(path, purpose);
    }

    /// Deletes the records of provisioning requests that are not those of this leader.
    pub(crate) fn on_provision_sweep(&mut self, context: &Context, list: Option<KeyValueList>) {
        for entry in list.map(|list| list.entries).unwrap_or_default() {
            let machine = entry.key.strip_prefix(PROVISION_PREFIX).unwrap_or_default();
            if self.fleet.provision_record(machine).is_some()
                || self.write_buffer.is_in_store(&entry.key)
            {
                continue;
            }
            warn!(key = entry.key, machine = machine; "late transaction restored the record of a provisioning request; deleting it");
            self.write_buffer
                .record_revision(&entry.key, entry.mod_revision);
            let record = RecordId::PendingProvision(machine.to_string());
            self.write_buffer.mark_dirty(record, context.now.steady);
        }
    }
}
