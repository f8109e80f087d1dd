//! The autoscaler: decides how many machines of which offering to provision.
//!
//! The autoscaler follows Mao, Li and Humphrey, "Cloud Auto-scaling with Deadline and Budget Constraints" (GRID
//! 2010), with the changes listed in `docs/design.md`. The computing power of a machine is the number of tasks of a
//! job that it can complete in time. For a job with `n` waiting tasks of run time `t` and time `D` to its deadline,
//! a machine that is up contributes `D * n / sum(n * t)`, multiplied by the number of tasks that fit into its free
//! resources. For a booting machine, the remaining boot delay is subtracted from `D`, down to zero. If the demand
//! exceeds the computing power of the fleet, machines are added greedily by their price per unit of the gap that
//! they close.

use crate::context::Context;
use crate::scheduler::leader::fleet::autoscaler::demand::PlanningPass;
use crate::scheduler::leader::fleet::autoscaler::plan::{ProvisionPlan, MAX_MACHINES_PER_REQUEST};
use crate::scheduler::Scheduler;
use crate::state::fleet::{MachineOffering, PendingProvision};
use crate::state::write_buffer::RecordId;
use crate::{Micros, SECOND};
use grebewood_wire::records::ProvisionRecord;
use log::info;

pub(crate) mod demand;
pub(crate) mod plan;
pub(crate) mod supply;

/// Time for which a new leader waits for its first machine list before it provisions machines, in microseconds.
const FIRST_LIST_TIMEOUT_US: Micros = 10 * SECOND;

/// Splits the machines of an offering into requests of at most [`MAX_MACHINES_PER_REQUEST`] machines.
fn split_into_requests(
    (offering, number): (MachineOffering, u64),
) -> impl Iterator<Item = (MachineOffering, u64)> {
    (0..number.div_ceil(MAX_MACHINES_PER_REQUEST)).map(move |request| {
        let machines_left = number - request * MAX_MACHINES_PER_REQUEST;
        (
            offering.clone(),
            machines_left.min(MAX_MACHINES_PER_REQUEST),
        )
    })
}

impl Scheduler {
    /// Runs one round of the autoscaler: plans which machines to add and requests them.
    pub(crate) fn run_autoscaler(&mut self, context: &mut Context) {
        let now = context.now.steady;
        // Machines that an earlier leader provisioned may be unknown until the first list has been read.
        if !self.fleet.has_machine_list()
            && now < self.fleet.term_started_at + FIRST_LIST_TIMEOUT_US
        {
            return;
        }
        let Some(catalogue) = context.catalogue.clone() else {
            return;
        };
        // The cost of completing the demand on cheap machines does not depend on how many of them share it, so the
        // first pass plans them for a short completion time. The second pass adds any offering, but only for the
        // demand that remains uncovered with a longer completion time.
        let mut plan = ProvisionPlan::new();
        let supply = self.supply(context);
        for pass in [PlanningPass::CheapOfferings, PlanningPass::AllOfferings] {
            self.add_to_plan(context, &catalogue, &supply, pass, &mut plan);
        }
        for (offering, number) in plan.into_iter().flat_map(split_into_requests) {
            self.request_machines(context, offering, number);
        }
    }

    /// Creates a provisioning request, which is sent to the cloud once its record is durable.
    fn request_machines(&mut self, context: &Context, offering: MachineOffering, number: u64) {
        let now = context.now.steady;
        self.fleet.last_provision_number += 1;
        let name = format!("h-{}-{}", self.token, self.fleet.last_provision_number);
        info!(
            provision = name, number = number, machine_type = offering.machine_type,
            zone = offering.zone, spot = offering.spot; "created a provisioning request"
        );
        let provision = PendingProvision {
            record: ProvisionRecord {
                machine_type: offering.machine_type,
                zone: offering.zone,
                spot: offering.spot,
                number,
                requested_us: context.now.wall,
            },
            requested_at: now,
            durable: false,
            in_flight: false,
            retry_at: now,
            unlisted: None,
        };
        self.fleet.provisions.insert(name.clone(), provision);
        self.write_buffer
            .mark_dirty(RecordId::PendingProvision(name), now);
    }
}
