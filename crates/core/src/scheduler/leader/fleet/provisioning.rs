//! Provisioning requests. Their names make them idempotent, so each is sent again until its outcome is known.

use crate::calls::CloudCall;
use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::fleet::{BootingMachine, MachineOffering};
use crate::state::write_buffer::RecordId;
use crate::{Micros, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::{ErrorResponse, MachineNames, ProvisionRequest};
use log::{info, warn};
use std::collections::BTreeSet;

/// Error text of the cloud's response if an offering has no capacity.
const NO_CAPACITY: &str = "no capacity";

/// Time for which an offering is not requested after its first refusal for lack of capacity, in microseconds. It
/// doubles with each further refusal in a row.
const FIRST_CAPACITY_BACKOFF_US: Micros = 5 * SECOND;

/// Upper bound of this time, in microseconds.
const MAX_CAPACITY_BACKOFF_US: Micros = 20 * SECOND;

/// Upper bound of the number of refusals in a row that are counted.
const MAX_REFUSALS: u32 = 3;

/// Returns whether the body of an error response means that the offering has no capacity.
fn is_no_capacity(body: &[u8]) -> bool {
    wire::from_cbor::<ErrorResponse>(body).is_ok_and(|refusal| refusal.error == NO_CAPACITY)
}

impl Scheduler {
    /// Sends the provisioning requests that are due.
    pub(crate) fn send_provisions(&mut self, context: &mut Context) {
        let now = context.now.steady;
        let provisions = self.fleet.provisions.iter();
        let due: Vec<String> = provisions
            .filter(|(_, provision)| provision.is_due(now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            let Some(provision) = self.fleet.provisions.get_mut(&name) else {
                continue;
            };
            if !context.cloud_requests.try_acquire(now, 1.0) {
                provision.retry_at = context.cloud_requests.ready_at(now, 1.0);
                continue;
            }
            provision.in_flight = true;
            let request = ProvisionRequest {
                name: name.clone(),
                machine_type: provision.record.machine_type.clone(),
                zone: provision.record.zone.clone(),
                spot: provision.record.spot,
                number: provision.record.number,
            };
            let body = wire::to_cbor(&request);
            let call = CloudCall::Provision { name };
            self.call_cloud(context, "POST", "/rentals", body, call);
        }
    }

    /// Handles the response to a provisioning request.
    pub(crate) fn on_provisioned(
        &mut self,
        context: &mut Context,
        name: &str,
        status: u16,
        body: &[u8],
    ) {
        let now = context.now.steady;
        let Some(provision) = self.fleet.provisions.get_mut(name) else {
            return;
        };
        provision.in_flight = false;
        let offering = provision.offering();
        match status {
            200 => match wire::from_cbor::<MachineNames>(body) {
                Ok(provisioned) => self.record_provisioned(now, name, provisioned.machines),
                Err(error) => {
                    warn!(provision = name, error:% = error; "cannot decode the response to a provisioning request");
                    provision.retry_at = now + SECOND;
                }
            },
            503 if is_no_capacity(body) => {
                self.start_capacity_backoff(now, offering);
                self.drop_provision(context, name);
            }
            400 => {
                warn!(provision = name; "the cloud rejected a provisioning request as malformed");
                self.start_capacity_backoff(now, offering);
                self.drop_provision(context, name);
            }
            // The outcome is unknown: the same request is sent again under the same name.
            _ => provision.retry_at = now + SECOND + context.jitter(SECOND / 2),
        }
    }

    /// Records the machines that the cloud provisioned, which may be fewer than requested.
    fn record_provisioned(&mut self, now: Micros, name: &str, machines: Vec<String>) {
        let Some(provision) = self.fleet.provisions.get_mut(name) else {
            return;
        };
        let offering = provision.offering();
        let requested = provision.record.number;
        let requested_at = provision.requested_at;
        provision.unlisted = Some(machines.iter().cloned().collect());
        info!(provision = name, number = machines.len(), requested = requested; "the cloud provisioned machines");
        if (machines.len() as u64) < requested {
            self.start_capacity_backoff(now, offering.clone());
        } else {
            self.fleet.capacity_backoffs.remove(&offering);
        }
        for machine in machines {
            if self.machines.contains_key(&machine) || self.fleet.is_terminated(&machine) {
                continue;
            }
            let boot = BootingMachine {
                offering: offering.clone(),
                requested_at,
                last_listed: None,
                listed_as_running: false,
            };
            let booting = self.fleet.booting_machines.entry(machine);
            booting.or_insert(boot);
        }
    }

    /// Starts the next backoff of an offering: no machines of it are requested until the backoff has passed.
    fn start_capacity_backoff(&mut self, now: Micros, offering: MachineOffering) {
        let backoff = self.fleet.capacity_backoffs.entry(offering).or_default();
        backoff.refusals = (backoff.refusals + 1).min(MAX_REFUSALS);
        let doublings = backoff.refusals.saturating_sub(1);
        backoff.until = now + (FIRST_CAPACITY_BACKOFF_US << doublings).min(MAX_CAPACITY_BACKOFF_US);
    }

    /// Removes a provisioning request and its record.
    fn drop_provision(&mut self, context: &Context, name: &str) {
        if self.fleet.provisions.remove(name).is_some() {
            // The record of a request that no longer exists is written as a deletion.
            self.write_buffer.mark_dirty(
                RecordId::PendingProvision(name.to_string()),
                context.now.steady,
            );
        }
    }

    /// Drops provisioning requests of which every machine was shown by the machine list or by its own heartbeat.
    /// From then on, a new leader learns of these machines without the request's record.
    pub(crate) fn close_provisions(&mut self, context: &Context) {
        let provisions = self.fleet.provisions.iter();
        let all_listed = |unlisted: &BTreeSet<String>| unlisted.is_empty();
        let closed: Vec<String> = provisions
            .filter(|(_, provision)| provision.unlisted.as_ref().is_some_and(all_listed))
            .map(|(name, _)| name.clone())
            .collect();
        for name in closed {
            self.drop_provision(context, &name);
        }
    }
}
