//! The fleet: sends calls to the cloud and handles their responses.

use crate::calls::{CloudCall, SchedulerCall};
use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::write_buffer::RecordId;
use crate::{Micros, Outcome, Target, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::Catalogue;

pub(crate) mod autoscaler;
pub(crate) mod boots;
pub(crate) mod consolidation;
pub(crate) mod machine_list;
pub(crate) mod provisioning;
pub(crate) mod scale_in;
pub(crate) mod termination;

/// Maximum number of machines in one termination call.
pub(crate) const MAX_TERMINATIONS_PER_CALL: usize = 100;

/// Timeout of a call to the cloud, in microseconds.
const CLOUD_TIMEOUT_US: Micros = 4 * SECOND;

/// Interval between two reads of the catalogue of machine types, in microseconds.
const CATALOGUE_INTERVAL_US: Micros = 60 * SECOND;

/// Delay before the catalogue is read again after a failed read, in microseconds.
const CATALOGUE_RETRY_DELAY_US: Micros = 5 * SECOND;

impl Scheduler {
    /// Runs the periodic work of the fleet that is due.
    pub(crate) fn run_fleet(&mut self, context: &mut Context) {
        // Terminations go first because a cancellation may wait for one. Provisioning requests without a known
        // outcome are sent again after a second and could use up all calls that the cloud's rate limit permits.
        self.send_terminations(context);
        self.send_provisions(context);
        self.read_machine_list(context);
        self.read_catalogue(context);
        let now = context.now.steady;
        if now >= self.fleet.next_autoscaler_round {
            self.fleet.next_autoscaler_round = now + context.tuning.decider_interval_us;
            self.check_boots(context);
            self.headroom
                .update(context, &self.jobs, self.machines.len());
            self.run_autoscaler(context);
            self.scale_in(context);
            self.consolidate(context);
            self.close_provisions(context);
        }
    }

    /// Sends a call to the cloud.
    pub(crate) fn call_cloud(
        &mut self,
        context: &mut Context,
        method: &'static str,
        path: &str,
        body: Vec<u8>,
        call: CloudCall,
    ) {
        let purpose = self.call_purpose(SchedulerCall::Cloud(call));
        let path = path.to_string();
        context.call(Target::Cloud, method, path, body, CLOUD_TIMEOUT_US, purpose);
    }

    /// Handles the outcome of a call to the cloud.
    pub(crate) fn on_cloud_response(
        &mut self,
        context: &mut Context,
        call: CloudCall,
        outcome: Outcome,
    ) {
        let (status, body) = match outcome {
            Outcome::Answer { status, body } => (status, body),
            _ => (0, Vec::new()),
        };
        if status == 429 {
            context.cloud_requests.discard_tokens(context.now.steady);
        }
        match call {
            CloudCall::MachineTypes => self.on_catalogue(context, status, &body),
            CloudCall::List => self.on_machine_list(context, status, &body),
            CloudCall::Provision { name } => self.on_provisioned(context, &name, status, &body),
            CloudCall::Terminate { machines } => self.on_terminated(context, status, machines),
        }
    }

    /// Reads the catalogue of machine types if it is due.
    fn read_catalogue(&mut self, context: &mut Context) {
        let now = context.now.steady;
        let is_due = now >= self.fleet.next_catalogue_read && !self.fleet.catalogue_in_flight;
        if !is_due || !context.cloud_requests.try_acquire(now, 1.0) {
            return;
        }
        self.fleet.catalogue_in_flight = true;
        self.fleet.next_catalogue_read = now + CATALOGUE_INTERVAL_US;
        let call = CloudCall::MachineTypes;
        self.call_cloud(context, "GET", "/machine_types", Vec::new(), call);
    }

    fn on_catalogue(&mut self, context: &mut Context, status: u16, body: &[u8]) {
        let now = context.now.steady;
        self.fleet.catalogue_in_flight = false;
        let types = match wire::from_cbor::<Catalogue>(body) {
            Ok(catalogue) if status == 200 && !catalogue.machine_types.is_empty() => {
                catalogue.machine_types
            }
            _ => {
                self.fleet.next_catalogue_read = now + CATALOGUE_RETRY_DELAY_US;
                return;
            }
        };
        let key = wire::records::CATALOGUE_KEY;
        let recorded = self.write_buffer.mod_revisions.contains_key(key);
        if !recorded || context.catalogue.as_ref() != Some(&types) {
            self.write_buffer.mark_dirty(RecordId::Catalogue, now);
        }
        context.catalogue = Some(types);
    }
}

#[cfg(test)]
mod tests;
