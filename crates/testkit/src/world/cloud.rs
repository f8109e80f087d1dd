//! The cloud: machines, releases and the machine list.

use super::*;

impl World {
    pub(super) fn handle_cloud_call(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> (u16, Vec<u8>) {
        let error = |text: &str| to_cbor(&BTreeMap::from([("error", text)]));
        if self.cloud_down {
            return (503, error("trouble"));
        }
        match (method, path.split('?').next().unwrap_or("")) {
            ("GET", "/machine_types") => {
                let machine_types = self.types.clone();
                (
                    200,
                    to_cbor(&grebewood_wire::http::Catalogue { machine_types }),
                )
            }
            ("GET", "/rentals") => {
                let lag = 3 * SECOND;
                let machines = self
                    .machines
                    .values()
                    .filter(|m| !m.gone && self.now >= m.requested + lag.min(m.requested))
                    .map(|m| ListedMachine {
                        id: m.name.clone(),
                        address: Some(format!("worker:{}", m.name)),
                        machine_type: m.machine_type.clone(),
                        zone: m.zone.clone(),
                        spot: m.spot,
                        status: if m.up { "running" } else { "starting" }.into(),
                        age_s: (self.now - m.requested) as f64 / 1e6,
                    })
                    .collect();
                let list = MachineList {
                    machines,
                    more: false,
                };
                (200, to_cbor(&list))
            }
            ("POST", "/rentals/release") => {
                let names = from_cbor::<MachineNames>(body).map(|p| p.machines);
                for name in names.unwrap_or_default() {
                    if let Some(m) = self.machines.get_mut(&name) {
                        m.gone = true;
                    }
                }
                (200, to_cbor(&BTreeMap::<String, u64>::new()))
            }
            ("POST", "/rentals") => {
                let Ok(r) = from_cbor::<ProvisionRequest>(body) else {
                    return (400, error("malformed"));
                };
                if let Some(known) = self.provisions.get(&r.name) {
                    let machines = known.clone();
                    return (200, to_cbor(&MachineNames { machines }));
                }
                let most = self
                    .capacity
                    .get(&(r.machine_type.clone(), r.spot))
                    .copied()
                    .unwrap_or(0);
                let used = self
                    .machines
                    .values()
                    .filter(|m| !m.gone && m.machine_type == r.machine_type && m.spot == r.spot)
                    .count() as u64;
                let n = r.number.min(most.saturating_sub(used));
                if n == 0 {
                    return (503, error("no capacity"));
                }
                let machines: Vec<String> = (0..n)
                    .map(|_| self.provision(&r.machine_type, &r.zone, r.spot))
                    .collect();
                self.provisions.insert(r.name, machines.clone());
                (200, to_cbor(&MachineNames { machines }))
            }
            _ => (404, Vec::new()),
        }
    }
}
