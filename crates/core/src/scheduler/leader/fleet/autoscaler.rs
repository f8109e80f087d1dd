//! The autoscaler: how many machines of which offering to provision.
//!
//! It follows Mao, Li and Humphrey, "Cloud Auto-scaling with Deadline and Budget Constraints" (GRID 2010), with the changes
//! listed in `docs/design.md`. A ready machine adds, for a job with `n` waiting tasks of run time `t` and time `D` to its
//! deadline, `D * n / sum(n * t)` tasks, times the tasks that fit into its free resources; a booting machine uses `D`
//! less its remaining boot delay, floored at zero. If demand exceeds this computing power, machines are added greedily by
//! price per unit of the gap they close.

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

/// How long a new leader waits for its first machine list before it provisions anything, in microseconds.
const FIRST_LIST_TIMEOUT: Micros = 10 * SECOND;

/// Splits the machines of an offering into requests of bounded size.
fn split_into_requests(
    (offering, number): (MachineOffering, u64),
) -> impl Iterator<Item = (MachineOffering, u64)> {
    (0..number.div_ceil(MAX_MACHINES_PER_REQUEST)).map(move |request| {
        let left = number - request * MAX_MACHINES_PER_REQUEST;
        (offering.clone(), left.min(MAX_MACHINES_PER_REQUEST))
    })
}

impl Scheduler {
    /// One round of the autoscaler.
    pub(crate) fn run_autoscaler(&mut self, context: &mut Context) {
        let now = context.now.steady;
        // Before the first list, machines of an earlier leader may be missing.
        if !self.fleet.has_machine_list() && now < self.fleet.term_started_at + FIRST_LIST_TIMEOUT {
            return;
        }
        let Some(catalogue) = context.catalogue.clone() else {
            return;
        };
        // Cheap machines complete the demand for the same money however many share it, so they are planned
        // for a short time; the others only for what those do not cover in a longer time.
        let mut plan = ProvisionPlan::new();
        let supply = self.supply(context);
        for pass in [PlanningPass::CheapOfferings, PlanningPass::AllOfferings] {
            self.add_to_plan(context, &catalogue, &supply, pass, &mut plan);
        }
        for (offering, number) in plan.into_iter().flat_map(split_into_requests) {
            self.request_machines(context, offering, number);
        }
    }

    /// Has the cloud provision machines, once the request is durable.
    fn request_machines(&mut self, context: &Context, offering: MachineOffering, number: u64) {
        let now = context.now.steady;
        self.fleet.last_provision_number += 1;
        let name = format!("h-{}-{}", self.token, self.fleet.last_provision_number);
        info!(
            provision = name, number = number, machine_type = offering.machine_type,
            zone = offering.zone, spot = offering.spot; "provisioning machines"
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
