//! Deletes provision requests that a late transaction puts back on record.
//!
//! A provision request may be written by a flush without an answer, written again and then deleted. If the store applies
//! the first flush after all, the request is on record again: the condition of that flush, that there is no such record,
//! holds once more. The next leader would provision a machine by it. So the requests on record are listed again and
//! again for some time after a flush without an answer, and those that are not ours are deleted.

use crate::calls::SchedulerCall;
use crate::context::Context;
use crate::scheduler::store_reads::LIST_PAGE;
use crate::scheduler::Scheduler;
use crate::state::write_buffer::RecordId;
use crate::{Micros, SECOND};
use grebewood_wire::http::KeyValueList;
use grebewood_wire::records::PROVISION_PREFIX;
use log::warn;

/// How often the requests on record are listed.
const SWEEP_INTERVAL: Micros = 20 * SECOND;

/// For how long after a flush without an answer.
const SWEEP_DURATION: Micros = 300 * SECOND;

impl Scheduler {
    pub(crate) fn start_provision_sweep(&mut self, context: &Context) {
        let now = context.now.steady;
        self.provision_sweep_at = now + SWEEP_INTERVAL;
        self.provision_sweep_until = now + SWEEP_DURATION;
    }

    /// Lists the provision requests on record if that is due.
    pub(crate) fn run_provision_sweep(&mut self, context: &mut Context) {
        let now = context.now.steady;
        if now < self.provision_sweep_at || now > self.provision_sweep_until {
            return;
        }
        self.provision_sweep_at = now + SWEEP_INTERVAL;
        let purpose = self.pending(SchedulerCall::List {
            prefix: PROVISION_PREFIX.into(),
        });
        let path = format!("/kv?prefix={PROVISION_PREFIX}&page={LIST_PAGE}");
        context.get_from_store(path, purpose);
    }

    /// Deletes provision requests on record that are not ours.
    pub(crate) fn on_provision_sweep(&mut self, context: &Context, list: Option<KeyValueList>) {
        for entry in list.map(|list| list.entries).unwrap_or_default() {
            let machine = entry.key.strip_prefix(PROVISION_PREFIX).unwrap_or_default();
            if self.fleet.provision_record(machine).is_some()
                || self.write_buffer.is_on_record(&entry.key)
            {
                continue;
            }
            warn!(key = entry.key, machine = machine; "provision request was put back by a late transaction");
            self.write_buffer
                .note_revision(&entry.key, entry.mod_revision);
            let record = RecordId::PendingProvision(machine.to_string());
            self.write_buffer.mark_dirty(record, context.now.steady);
        }
    }
}
