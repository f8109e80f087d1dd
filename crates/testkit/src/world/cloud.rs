//! The cloud: rentals, releases and the machine list.

use super::*;

impl World {
    pub(super) fn cloud_request(
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
                let builds = self.types.clone();
                (200, to_cbor(&grebewood_wire::http::Catalogue { builds }))
            }
            ("GET", "/rentals") => {
                let lag = 3 * S;
                let perches = self
                    .machines
                    .values()
                    .filter(|m| !m.gone && self.now >= m.requested + lag.min(m.requested))
                    .map(|m| ListedMachine {
                        uid: m.name.clone(),
                        endpoint: Some(format!("worker:{}", m.name)),
                        build: m.machine_type.clone(),
                        yard: m.zone.clone(),
                        loaner: m.spot,
                        status: if m.up { "running" } else { "starting" }.into(),
                        held_s: (self.now - m.requested) as f64 / 1e6,
                    })
                    .collect();
                let list = MachineList {
                    perches,
                    more: false,
                };
                (200, to_cbor(&list))
            }
            ("POST", "/rentals/release") => {
                let names = from_cbor::<Perches>(body).map(|p| p.perches);
                for name in names.unwrap_or_default() {
                    if let Some(m) = self.machines.get_mut(&name) {
                        m.gone = true;
                    }
                }
                (200, to_cbor(&BTreeMap::<String, u64>::new()))
            }
            ("POST", "/rentals") => {
                let Ok(r) = from_cbor::<RentalRequest>(body) else {
                    return (400, error("malformed"));
                };
                if let Some(known) = self.hires.get(&r.hire) {
                    let perches = known.clone();
                    return (200, to_cbor(&Perches { perches }));
                }
                let most = self
                    .capacity
                    .get(&(r.build.clone(), r.loaner))
                    .copied()
                    .unwrap_or(0);
                let used = self
                    .machines
                    .values()
                    .filter(|m| !m.gone && m.machine_type == r.build && m.spot == r.loaner)
                    .count() as u64;
                let n = r.number.min(most.saturating_sub(used));
                if n == 0 {
                    return (503, error("no capacity"));
                }
                let perches: Vec<String> = (0..n)
                    .map(|_| self.rent(&r.build, &r.yard, r.loaner))
                    .collect();
                self.hires.insert(r.hire, perches.clone());
                (200, to_cbor(&Perches { perches }))
            }
            _ => (404, Vec::new()),
        }
    }
}
