//! Pages of assignments: which page takes which, and what is written.

use super::*;

impl Lead {
    pub(crate) fn page_mut(&mut self, n: u64) -> &mut Page {
        // Page numbers come from our own keys and are dense; a wild one would only cost room.
        let n = n.min(100_000) as usize;
        if self.pages.len() <= n {
            self.pages.resize(n + 1, Page::default());
        }
        &mut self.pages[n]
    }

    /// A page with room for `count` more assignments; one that will be written anyway if there
    /// is one.
    pub(crate) fn page_with_room(&mut self, count: usize) -> u64 {
        // Assignments of one moment share a page; when it is full, the emptiest comes next, so
        // that few pages are written.
        let need = count * 160;
        let most = self.page_bytes();
        let fits = |p: &Page| !p.broken && !p.barred && p.bytes + need <= most;
        let open = self.placement.open_page;
        if self.pages.get(open as usize).is_some_and(fits) {
            return open;
        }
        let emptiest = (0..self.pages.len())
            .filter(|n| fits(&self.pages[*n]) && self.pages[*n].bytes * 2 <= most)
            .min_by_key(|n| self.pages[*n].bytes);
        let n = emptiest.unwrap_or(self.pages.len()) as u64;
        self.page_mut(n);
        self.placement.open_page = n;
        n
    }

    /// Moves assignments off pages that are larger than a value may be. The result says from which
    /// page to which.
    pub(crate) fn split_placements(&mut self, due: Micros) -> Vec<(RecordId, RecordId)> {
        let most = self.page_bytes();
        for page in &mut self.pages {
            page.barred |= page.bytes > most;
        }
        let mut moves = Vec::new();
        for from in 0..self.pages.len() as u64 {
            if self.page_mut(from).bytes <= most || self.page_mut(from).broken {
                continue;
            }
            let names: Vec<String> = self.page_mut(from).machines.keys().cloned().collect();
            let here = names.iter().filter_map(|name| {
                let assignments = &self.machines.get(name)?.assignments;
                let at = assignments.iter().enumerate();
                Some(
                    at.filter(|(_, a)| a.page == from)
                        .map(move |(at, _)| (name, at)),
                )
            });
            let here: Vec<(&String, usize)> = here.flatten().collect();
            for (name, at) in here.into_iter().rev() {
                if self.page_mut(from).bytes <= most {
                    break;
                }
                let to = self.page_with_room(1);
                let Some(a) = self.machines.get_mut(name).map(|m| &mut m.assignments[at]) else {
                    continue;
                };
                let old = a.clone();
                a.page = to;
                if !a.may_exist() {
                    // Not launched yet: that waits for the new page.
                    a.written = self.ledger.touch(RecordId::Page(to), due);
                }
                let new = a.clone();
                self.page_mut(from).remove(name, &old);
                self.page_mut(to).add(name, &new);
                moves.push((RecordId::Page(from), RecordId::Page(to)));
            }
        }
        moves
    }

    /// The current content of a page.
    pub(crate) fn page_record(&self, n: u64) -> PageRecord {
        let mut record = PageRecord::default();
        let Some(page) = self.pages.get(n as usize) else {
            return record;
        };
        for name in page.machines.keys() {
            let Some(m) = self.machines.get(name) else {
                continue;
            };
            let mut groups: BTreeMap<u64, Vec<(String, u64, u64)>> = BTreeMap::new();
            for a in m.assignments.iter().filter(|a| a.page == n) {
                groups
                    .entry(a.session)
                    .or_default()
                    .push((a.job_id.clone(), a.task, a.attempt));
            }
            for (session, t) in groups {
                record.machines.push(MachineAssignments {
                    machine: name.clone(),
                    session,
                    zone: m.zone.clone(),
                    assignments: t,
                });
            }
        }
        record
    }
}
