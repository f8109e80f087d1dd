//! The cloud: provisioning and termination of machines, and the machine list.

use super::events::Caller;
use super::network::{Link, CLOUD_LATENCY_US};
use super::World;
use crate::machines::Machine;
use crate::time::{as_seconds, Micros, SECOND};
use grebewood_wire::http::{
    Catalogue, ListedMachine, MachineList, MachineNames, MachineType, ProvisionRequest,
};
use grebewood_wire::{from_cbor, to_cbor};
use std::collections::BTreeMap;

/// Boot time of machines if the script gives none.
const DEFAULT_BOOT_TIME_US: Micros = 10 * SECOND;
/// Delay before a machine that was provisioned while the scenario runs is in the machine list.
const LISTING_LAG_US: Micros = 3 * SECOND;
/// Number of controllers to which the agents of new machines, in turn, send their first heartbeats.
const FIRST_CONTROLLERS: usize = 3;

/// Machine types and capacity of the cloud, and what it has provisioned.
pub(super) struct Cloud {
    pub(super) machine_types: Vec<MachineType>,
    /// Largest number of machines, by type and by whether they are spot machines.
    pub(super) capacity: BTreeMap<(String, bool), u64>,
    /// Boot time of machines that are provisioned from now on.
    pub(super) boot_time: Micros,
    /// Whether machines that are provisioned from now on never come up.
    pub(super) boots_fail: bool,
    /// Whether every request is answered 503.
    pub(super) down: bool,
    /// Machines of each provision request, by its name, so that a repeated request provisions nothing.
    pub(super) provisions: BTreeMap<String, Vec<String>>,
    /// Number of the next machine.
    pub(super) next_machine: u64,
}

impl Default for Cloud {
    fn default() -> Cloud {
        Cloud {
            machine_types: Vec::new(),
            capacity: BTreeMap::new(),
            boot_time: DEFAULT_BOOT_TIME_US,
            boots_fail: false,
            down: false,
            provisions: BTreeMap::new(),
            next_machine: 0,
        }
    }
}

impl Cloud {
    /// Returns a machine type by its name.
    pub(super) fn machine_type(&self, name: &str) -> Option<&MachineType> {
        let mut machine_types = self.machine_types.iter();
        machine_types.find(|machine_type| machine_type.name == name)
    }
}

impl World {
    /// Handles the arrival of a call at the cloud, and sends the response.
    pub(super) fn handle_cloud_call(
        &mut self,
        caller: Caller,
        method: &str,
        path: &str,
        body: &[u8],
    ) {
        let (status, body) = self.cloud_response(method, path, body);
        self.reply(caller, Link::Cloud, CLOUD_LATENCY_US, status, body);
    }

    fn cloud_response(&mut self, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        if self.cloud.down {
            return (503, error_body("trouble"));
        }
        match (method, path.split('?').next().unwrap_or("")) {
            ("GET", "/machine_types") => {
                let machine_types = self.cloud.machine_types.clone();
                (200, to_cbor(&Catalogue { machine_types }))
            }
            ("GET", "/rentals") => (200, to_cbor(&self.machine_list())),
            ("POST", "/rentals/release") => {
                let names = from_cbor::<MachineNames>(body).map(|names| names.machines);
                for name in names.unwrap_or_default() {
                    if let Some(machine) = self.machines.get_mut(&name) {
                        machine.is_gone = true;
                    }
                }
                (200, to_cbor(&BTreeMap::<String, u64>::new()))
            }
            ("POST", "/rentals") => match from_cbor::<ProvisionRequest>(body) {
                Ok(request) => self.handle_provision_request(request),
                Err(_) => (400, error_body("malformed")),
            },
            _ => (404, Vec::new()),
        }
    }

    fn machine_list(&self) -> MachineList {
        // Machines that are provisioned at the start are listed at once.
        let listed_at =
            |machine: &Machine| machine.provisioned_at + LISTING_LAG_US.min(machine.provisioned_at);
        let machines = self.present_machines();
        let machines = machines.filter(|machine| self.now >= listed_at(machine));
        let machines = machines.map(|machine| ListedMachine {
            id: machine.name.clone(),
            address: Some(format!("worker:{}", machine.name)),
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            status: if machine.is_up { "running" } else { "starting" }.into(),
            age_s: as_seconds(self.now - machine.provisioned_at),
        });
        MachineList {
            machines: machines.collect(),
            has_more: false,
        }
    }

    fn handle_provision_request(&mut self, request: ProvisionRequest) -> (u16, Vec<u8>) {
        if let Some(known) = self.cloud.provisions.get(&request.name) {
            let machines = known.clone();
            return (200, to_cbor(&MachineNames { machines }));
        }
        let key = (request.machine_type.clone(), request.spot);
        let capacity = self.cloud.capacity.get(&key).copied().unwrap_or(0);
        let same_kind = |machine: &&Machine| {
            machine.machine_type == request.machine_type && machine.spot == request.spot
        };
        let used = self.present_machines().filter(same_kind).count() as u64;
        let number = request.number.min(capacity.saturating_sub(used));
        if number == 0 {
            return (503, error_body("no capacity"));
        }
        let machines: Vec<String> = (0..number)
            .map(|_| self.provision_machine(&request.machine_type, &request.zone, request.spot))
            .collect();
        self.cloud.provisions.insert(request.name, machines.clone());
        (200, to_cbor(&MachineNames { machines }))
    }

    /// Provisions a machine, which starts to boot now. Returns its name.
    pub(super) fn provision_machine(
        &mut self,
        machine_type: &str,
        zone: &str,
        spot: bool,
    ) -> String {
        let name = format!("n-{:06}", self.cloud.next_machine);
        self.cloud.next_machine += 1;
        let unknown = unknown_machine_type(machine_type);
        let kind = self.cloud.machine_type(machine_type).unwrap_or(&unknown);
        let boots_at = self.now + self.cloud.boot_time;
        let machine = Machine {
            spot,
            provisioned_at: self.now,
            boots_at: (!self.cloud.boots_fail).then_some(boots_at),
            controller: self.cloud.next_machine as usize % FIRST_CONTROLLERS,
            ..Machine::new(&name, kind, zone)
        };
        self.machines.insert(name.clone(), machine);
        name
    }
}

fn error_body(text: &str) -> Vec<u8> {
    to_cbor(&BTreeMap::from([("error", text)]))
}

/// Returns a machine type without resources, which stands for one that is not in the catalogue.
fn unknown_machine_type(name: &str) -> MachineType {
    MachineType {
        name: name.into(),
        cpus: 0.0,
        gpus: 0.0,
        memory_gb: 0.0,
        local_gb: None,
        fetch_gb_per_s: None,
        price: 0.0,
        spot_price: None,
        boot_s: 0.0,
        zones: Vec::new(),
    }
}
