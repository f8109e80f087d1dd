//! Who leads: the election by a lease in the state service, and the leader's working state.
//!
//! The record `leader` is put under a lease on the condition that it is absent. Its stamp is the
//! fencing token (`warrant` on the wire): stamps only grow, so each new leader has a higher one,
//! and every write of a leader is conditional on it.

use crate::done::DonePages;
use crate::fleet::Fleet;
use crate::jobs::{Ending, Job, JobIx, Jobs};
use crate::ledger::{Batch, Ledger, Rec, Rendered};
use crate::node::{Ctx, LeadCall, Node, Pending, STATE_TIMEOUT};
use crate::placement::{Placement, Usage};
use crate::stats::Stats;
use crate::users::{absent, put};
use crate::workers::{Assignment, Machine, Seen};
use crate::{Micros, Outcome, Stopwatch, Target, MILLI, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::{
    from_value, Change, Changes, Entry, EntryList, Epoch, Event, Lease, LeaseRequest, Txn,
    TxnFailed, When,
};
use grebewood_wire::peer::{PeerAnswer, PeerRequest};
use grebewood_wire::records::{
    cancel_key, job_key, CancelRecord, DonePageRecord, DoneRecord, HireRecord, JobKey, JobRecord,
    LeaderRecord, PageRecord, PastRecord, CATALOGUE, DONE, HIRE, JOB, LEADER, OLD_CANCEL, PAGE,
    PAST, STATS,
};
use grebewood_wire::Value;
use log::{error, info, warn};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A call of the election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Reads who leads.
    Probe,
    Lease,
    Claim {
        lease: u64,
    },
    /// Reads back after a claim without a clear outcome.
    ReadBack {
        lease: u64,
    },
}

/// A node's view of who leads.
#[derive(Debug)]
pub struct Election {
    /// The leader and the record's stamp, as last read.
    leader: Option<(LeaderRecord, u64)>,
    busy: bool,
    next_probe: Micros,
    /// No candidacy before this time.
    abstain_until: Micros,
    incarnation: u64,
    /// What each peer last said, by its place in the settings.
    peers: BTreeMap<usize, PeerView>,
}

/// What a peer last said of its contact with the state service.
#[derive(Clone, Copy, Debug, Default)]
struct PeerView {
    asked: Micros,
    /// It said at this time (ours) that it had no contact.
    without_contact: Option<Micros>,
    /// When it last had contact, by our clock.
    contact: Option<Micros>,
    token: u64,
}

const PROBE: Micros = 500 * MILLI;
/// How often peers are told of changed progress, so that polls at any node show short tasks too.
const PROGRESS: Micros = 500 * MILLI;
/// Every so many times they are told all of it.
const PROGRESS_WHOLE: u32 = 5;

impl Election {
    pub fn new(incarnation: u64) -> Self {
        Election {
            leader: None,
            busy: false,
            next_probe: 0,
            abstain_until: 0,
            incarnation,
            peers: BTreeMap::new(),
        }
    }

    pub fn next_wake(&self) -> Micros {
        self.next_probe
    }

    /// Whether `member` leads under this token, as far as known.
    pub fn leader_is(&self, member: &str, token: u64) -> bool {
        self.leader
            .as_ref()
            .is_some_and(|(l, stamp)| l.member == member && *stamp == token)
    }

    /// The leader's name.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_ref().map(|(l, _)| l.member.as_str())
    }

    /// Reads who leads as soon as possible.
    pub fn probe_now(&mut self) {
        self.next_probe = 0;
    }
}

/// A check-in whose answer waits for a flush.
#[derive(Clone, Debug)]
pub struct Held {
    pub request: u64,
    /// The round of placement that it waits for.
    pub round: u64,
    pub machine: String,
    pub tenure: u64,
    pub tally: u64,
    pub until: Micros,
}

/// How far the leader has read its state.
#[derive(Debug, Default)]
struct Loading {
    /// Reads under way or to be repeated, by prefix or key, with where a list goes on.
    missing: BTreeMap<&'static str, Option<String>>,
    retry: BTreeMap<&'static str, Micros>,
    entries: BTreeMap<&'static str, Vec<Entry<Value>>>,
    epochs: BTreeMap<&'static str, u64>,
}

/// A watch of a prefix.
#[derive(Clone, Copy, Debug, Default)]
struct Watch {
    since: u64,
    open: bool,
    retry_at: Micros,
    /// The keys must be listed again.
    relist: bool,
}

/// Everything the leader works with. It is built from state after the grant, and dropped whole
/// when the leader steps down.
pub struct Lead {
    pub token: u64,
    lease: u64,
    extend_at: Micros,
    extending: bool,
    loading: Option<Loading>,
    pub loaded_at: Micros,
    pub jobs: Jobs,
    /// Jobs that ended lately, so that a late list cannot bring them back.
    ended: VecDeque<String>,
    pub machines: BTreeMap<String, Machine>,
    pub pages: Vec<crate::placement::Page>,
    /// Most bytes of a page.
    pub page_bytes: usize,
    pub ledger: Ledger,
    pub fleet: Fleet,
    pub stats: Stats,
    pub placement: Placement,
    pub held: Vec<Held>,
    /// When the first of them is answered whatever it waits for.
    pub held_until: Micros,
    /// Something happened that any of them may have waited for.
    pub held_stir: bool,
    pub done_pages: DonePages,
    /// What each team uses, from assignment to proof.
    pub usage: Usage,
    /// Jobs whose progress changed since the peers were told.
    pub progress_dirty: BTreeSet<JobIx>,
    watches: BTreeMap<&'static str, Watch>,
    pub attempts: u64,
    pub next_machine_check: Micros,
    progress_at: Micros,
    progress_round: u32,
    stats_at: Micros,
    /// When a worker last reported.
    pub heard_at: Micros,
    /// Machines with a direct call under way, and when the last one was sent.
    pub direct: BTreeMap<String, Micros>,
    flush_failures: u32,
    corrupt: Vec<String>,
}

impl Node {
    pub(crate) fn run_election(&mut self) {
        let now = self.cx.now.steady;
        if now < self.election.next_probe {
            return;
        }
        if self.lead.is_none() {
            self.election.next_probe = now + PROBE;
            if !self.election.busy {
                self.election.busy = true;
                self.cx.read_key(LEADER, Pending::Election(Step::Probe));
            }
        } else {
            self.election.next_probe = now + SECOND;
            self.ask_peers();
        }
    }

    pub(crate) fn on_election(&mut self, step: Step, outcome: Outcome) {
        let now = self.cx.now.steady;
        self.election.busy = false;
        if self.lead.is_some() {
            return;
        }
        let (status, body) = match outcome {
            Outcome::Answer { status, body } => (status, body),
            _ => (0, Vec::new()),
        };
        match (step, status) {
            (Step::Probe, 200) => match wire::from_cbor::<Entry<LeaderRecord>>(&body) {
                Ok(e) => {
                    self.cx.token = self.cx.token.max(e.stamp);
                    if e.value.member == self.cx.settings.member {
                        // A grant of our own that we do not hold: an earlier process of ours had
                        // it, or a claim was applied late. Nobody acts under it, so it goes.
                        let txn = Txn {
                            when: vec![When {
                                k: LEADER.into(),
                                stamp: e.stamp,
                            }],
                            apply: vec![Change::Delete {
                                delete: LEADER.into(),
                            }],
                        };
                        self.cx.post_state("/txn", &txn, Pending::Ignore);
                        self.election.leader = None;
                        self.election.next_probe = now + 20 * MILLI;
                    } else {
                        self.election.leader = Some((e.value, e.stamp));
                    }
                }
                Err(e) => warn!("record {LEADER}: {e}"),
            },
            (Step::Probe, 404) => {
                self.election.leader = None;
                if now >= self.election.abstain_until {
                    self.election.busy = true;
                    let request = LeaseRequest {
                        life_ms: self.cx.tuning.leader_lease_us / MILLI,
                    };
                    self.cx
                        .post_state("/leases", &request, Pending::Election(Step::Lease));
                }
            }
            (Step::Lease, 200) => {
                if let Ok(lease) = wire::from_cbor::<Lease>(&body) {
                    self.election.busy = true;
                    let record = LeaderRecord {
                        member: self.cx.settings.member.clone(),
                        incarnation: self.election.incarnation,
                    };
                    let txn = Txn {
                        when: vec![absent(LEADER)],
                        apply: vec![Change::Put {
                            put: LEADER.into(),
                            value: wire::http::to_value(&record),
                            tether: Some(lease.tether),
                        }],
                    };
                    let step = Step::Claim {
                        lease: lease.tether,
                    };
                    self.cx.post_state("/txn", &txn, Pending::Election(step));
                }
            }
            (Step::Claim { lease }, 200) => match wire::from_cbor::<Epoch>(&body) {
                Ok(e) => self.become_leader(e.epoch, lease),
                Err(_) => self.end_lease(lease),
            },
            (Step::Claim { lease }, 0) => {
                self.election.busy = true;
                self.cx
                    .read_key(LEADER, Pending::Election(Step::ReadBack { lease }));
            }
            (Step::ReadBack { lease }, 200) => {
                match wire::from_cbor::<Entry<LeaderRecord>>(&body) {
                    Ok(e)
                        if e.value.member == self.cx.settings.member
                            && e.value.incarnation == self.election.incarnation =>
                    {
                        self.become_leader(e.stamp, lease)
                    }
                    _ => self.end_lease(lease),
                }
            }
            (Step::Claim { lease } | Step::ReadBack { lease }, _) => self.end_lease(lease),
            _ => {}
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.cx.call(
            Target::State,
            "DELETE",
            format!("/leases/{lease}"),
            Vec::new(),
            STATE_TIMEOUT,
            Pending::Ignore,
        );
        self.election.next_probe = self.cx.now.steady + 100 * MILLI;
    }

    fn become_leader(&mut self, token: u64, lease: u64) {
        info!("leader with token {token}");
        self.cx.token = self.cx.token.max(token);
        let record = LeaderRecord {
            member: self.cx.settings.member.clone(),
            incarnation: self.election.incarnation,
        };
        self.election.leader = Some((record, token));
        self.election.peers.clear();
        let mut lead = Box::new(Lead::new(&self.cx, token, lease));
        lead.start_loading(&mut self.cx);
        self.lead = Some(lead);
    }

    /// Stops acting as the leader. `resign`: gives the lease back and abstains for a while.
    pub(crate) fn step_down(&mut self, why: &str, resign: bool) {
        let Some(lead) = self.lead.take() else { return };
        warn!("no longer leader with token {}: {why}", lead.token);
        for held in &lead.held {
            self.cx.refuse(held.request, 503, "not the leader any more");
        }
        self.election.leader = None;
        self.election.busy = false;
        self.election.next_probe = self.cx.now.steady + 50 * MILLI;
        if resign {
            self.end_lease(lead.lease);
            self.election.abstain_until = self.cx.now.steady + 10 * SECOND;
        }
    }

    /// Asks the peers whether they have contact with the state service. While the leader has
    /// contact itself this only keeps its view of the peers fresh.
    fn ask_peers(&mut self) {
        let now = self.cx.now.steady;
        let message = wire::to_peer(&PeerRequest::Contact {
            from: self.cx.settings.member.clone(),
        });
        for peer in 0..self.cx.settings.siblings.len() {
            self.election.peers.entry(peer).or_default().asked = now;
            self.cx.call(
                Target::Peer(peer),
                "POST",
                "/peer".into(),
                message.clone(),
                900 * MILLI,
                Pending::Contact(peer),
            );
        }
    }

    pub(crate) fn on_contact(&mut self, peer: usize, outcome: Outcome) {
        let now = self.cx.now.steady;
        let Outcome::Answer { status: 200, body } = outcome else {
            return;
        };
        let answer: PeerAnswer = match wire::from_peer(&body) {
            Ok(a) => a,
            Err(e) => return warn!("peer: {e}"),
        };
        let view = self.election.peers.entry(peer).or_default();
        view.token = answer.token;
        match answer.state_contact_age_us {
            Some(age) if age < 2 * SECOND => {
                view.contact = Some(now.saturating_sub(age));
                view.without_contact = None;
            }
            // It had none in the last two seconds before it answered.
            _ => view.without_contact = Some(view.asked.saturating_sub(2 * SECOND)),
        }
    }

    /// A leader without contact with the state service finds out which of three things happened.
    /// A peer has contact: it alone is refused, and steps down at once. No peer has contact: an
    /// outage, during which nobody can accept a cancellation, so it keeps answering check-ins.
    /// Peers that cannot be asked may have contact and accept cancellations: it stops so early
    /// that the workers' leases run out within `cancel_s` of the last moment without them.
    fn check_contact(&mut self) {
        let now = self.cx.now.steady;
        let Some(lost) = self.cx.last_contact else {
            return;
        };
        if now.saturating_sub(lost) < 2 * SECOND {
            return;
        }
        let peers = &self.election.peers;
        if peers
            .values()
            .any(|p| p.contact.is_some_and(|c| c > lost + 1_500 * MILLI))
        {
            return self.step_down("the state service serves a peer, not this node", false);
        }
        let certain = (0..self.cx.settings.siblings.len())
            .map(|p| {
                peers
                    .get(&p)
                    .and_then(|v| v.without_contact)
                    .map_or(lost, |t| t.max(lost))
            })
            .min()
            .unwrap_or(now);
        let s = &self.cx.settings;
        let bound = s.cancel.saturating_sub(s.lease) * 8 / 10;
        let bound = bound.saturating_sub(2 * SECOND).max(SECOND);
        if now.saturating_sub(certain) > bound {
            self.step_down("no contact with the state service nor with peers", false);
        }
    }

    pub(crate) fn run_lead(&mut self, watch: &mut dyn Stopwatch) {
        if self.lead.is_none() {
            return;
        }
        self.check_contact();
        let Some(lead) = self.lead.as_mut() else {
            return;
        };
        if lead.cut_from_workers(&self.cx) {
            return self.step_down("no worker reaches this node", true);
        }
        lead.run(&mut self.cx, watch);
    }

    pub(crate) fn on_lead_reply(&mut self, what: LeadCall, outcome: Outcome) {
        let Some(lead) = self.lead.as_mut() else {
            return;
        };
        if let Err(why) = lead.on_reply(&mut self.cx, what, outcome) {
            self.step_down(&why, false);
        }
    }
}

impl Lead {
    fn new(cx: &Ctx, token: u64, lease: u64) -> Self {
        let now = cx.now.steady;
        Lead {
            token,
            lease,
            extend_at: now + cx.tuning.leader_lease_us / 4,
            extending: false,
            loading: None,
            loaded_at: 0,
            jobs: Jobs::default(),
            ended: VecDeque::new(),
            machines: BTreeMap::new(),
            pages: Vec::new(),
            page_bytes: cx.settings.value_bytes * 9 / 10,
            ledger: Ledger::default(),
            fleet: Fleet::new(now),
            stats: Stats::default(),
            placement: Placement::default(),
            held: Vec::new(),
            held_until: 0,
            held_stir: false,
            done_pages: DonePages::new(cx.settings.value_bytes * 9 / 10),
            usage: Usage::new(),
            progress_dirty: BTreeSet::new(),
            watches: BTreeMap::new(),
            attempts: 0,
            next_machine_check: now,
            progress_at: now,
            progress_round: 0,
            stats_at: now + 20 * SECOND,
            heard_at: now,
            direct: BTreeMap::new(),
            flush_failures: 0,
            corrupt: Vec::new(),
        }
    }

    /// Whether state has been read, so that the leader can act.
    pub fn loaded(&self) -> bool {
        self.loading.is_none()
    }

    pub(crate) fn pending(&self, what: LeadCall) -> Pending {
        Pending::Lead {
            token: self.token,
            what,
        }
    }

    /// A number for an attempt. It carries the token, so no leader ever reuses one of another.
    pub fn next_attempt(&mut self) -> u64 {
        self.attempts += 1;
        (self.token << 20) + self.attempts
    }

    pub fn next_wake(&self, cx: &Ctx) -> Micros {
        let mut at = self.extend_at;
        if let Some(loading) = &self.loading {
            for t in loading.retry.values() {
                at = at.min(*t);
            }
            return at;
        }
        for w in self.watches.values().filter(|w| !w.open) {
            at = at.min(w.retry_at);
        }
        if self.ledger.in_flight.is_none() {
            if let Some(due) = self.ledger.next_due() {
                at = at.min(due.max(self.ledger.not_before));
            }
        }
        if !self.held.is_empty() {
            at = at.min(self.held_until);
        }
        at.min(self.placement.next_at)
            .min(self.next_machine_check)
            .min(self.fleet.next_wake(cx))
            .min(self.progress_at)
    }

    fn start_loading(&mut self, cx: &mut Ctx) {
        let mut loading = Loading::default();
        for prefix in [JOB, OLD_CANCEL, DONE, PAGE, HIRE, STATS, CATALOGUE] {
            loading.missing.insert(prefix, None);
            loading.retry.insert(prefix, cx.now.steady);
        }
        self.loading = Some(loading);
        self.run_loading(cx);
    }

    fn run_loading(&mut self, cx: &mut Ctx) {
        let now = cx.now.steady;
        let token = self.token;
        let Some(loading) = &mut self.loading else {
            return;
        };
        let due: Vec<&'static str> = loading
            .retry
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(p, _)| *p)
            .collect();
        for prefix in due {
            loading.retry.remove(prefix);
            let what = if prefix.ends_with('/') {
                LeadCall::List { prefix }
            } else {
                LeadCall::Read { key: prefix }
            };
            let since = match loading.missing.get(prefix) {
                Some(Some(since)) => format!("&since={since}"),
                _ => String::new(),
            };
            let path = if prefix.ends_with('/') {
                format!("/kv?prefix={prefix}{since}&page=200")
            } else {
                format!("/kv/{prefix}")
            };
            let pending = Pending::Lead { token, what };
            cx.call(
                Target::State,
                "GET",
                path,
                Vec::new(),
                STATE_TIMEOUT,
                pending,
            );
        }
    }

    /// Takes a reply to a read of the loading, or of a relist of a watch.
    fn on_list(&mut self, cx: &mut Ctx, prefix: &'static str, outcome: Outcome) {
        let now = cx.now.steady;
        let list = match &outcome {
            Outcome::Answer { status: 200, body } => wire::from_cbor::<EntryList>(body),
            _ => Err(wire::DecodeError("no answer".into())),
        };
        let Some(loading) = &mut self.loading else {
            return self.on_relist(cx, prefix, list.ok());
        };
        match list {
            Ok(list) => {
                loading.epochs.entry(prefix).or_insert(list.epoch);
                let last = list.entries.last().map(|e| e.k.clone());
                loading
                    .entries
                    .entry(prefix)
                    .or_default()
                    .extend(list.entries);
                if list.more && last.is_some() {
                    loading.missing.insert(prefix, last);
                    loading.retry.insert(prefix, now);
                } else {
                    loading.missing.remove(prefix);
                }
            }
            Err(e) => {
                warn!("list {prefix}: {e}");
                loading.retry.insert(prefix, now + 200 * MILLI);
            }
        }
        self.run_loading(cx);
        self.finish_loading(cx);
    }

    fn on_read(&mut self, cx: &mut Ctx, key: &'static str, outcome: Outcome) {
        let Some(loading) = &mut self.loading else {
            return;
        };
        match outcome {
            Outcome::Answer { status: 200, body } => {
                loading.missing.remove(key);
                match wire::from_cbor::<Entry<Value>>(&body) {
                    Ok(entry) => loading.entries.entry(key).or_default().push(entry),
                    Err(e) => error!("record {key}: {e}"),
                }
            }
            Outcome::Answer { status: 404, .. } => {
                loading.missing.remove(key);
            }
            _ => {
                loading.retry.insert(key, cx.now.steady + 200 * MILLI);
            }
        }
        self.finish_loading(cx);
    }

    /// Builds the working state once everything is read.
    fn finish_loading(&mut self, cx: &mut Ctx) {
        if !self.loading.as_ref().is_some_and(|l| l.missing.is_empty()) {
            return;
        }
        let Some(mut loading) = self.loading.take() else {
            return;
        };
        let now = cx.now.steady;
        let mut take = |prefix: &str| loading.entries.remove(prefix).unwrap_or_default();
        let (mut jobs, mut cancels, dones) = (take(JOB), take(OLD_CANCEL), take(DONE));
        jobs.retain(|e| {
            let live = !matches!(JobKey::parse(&e.k), Some(JobKey::Cancelled(_)));
            if !live {
                cancels.push(e.clone());
            }
            live
        });
        let (pages, hires) = (take(PAGE), take(HIRE));
        let (stats, catalogue) = (take(STATS), take(CATALOGUE));
        for e in jobs {
            self.add_job(cx, &e.k, &e.value, e.stamp);
        }
        for e in dones {
            self.ledger.stamps.insert(e.k.clone(), e.stamp);
            self.load_done(&e.k, &e.value);
        }
        for e in pages {
            self.ledger.stamps.insert(e.k.clone(), e.stamp);
            self.load_page(cx, &e.k, &e.value);
        }
        for e in hires {
            self.ledger.stamps.insert(e.k.clone(), e.stamp);
            match from_value::<HireRecord>(&e.value) {
                Ok(hire) => {
                    let name = e.k.trim_start_matches(HIRE).to_string();
                    self.fleet.recover_hire(cx, name, hire);
                }
                Err(err) => error!("record {}: {err}", e.k),
            }
        }
        for e in stats {
            self.ledger.stamps.insert(e.k, e.stamp);
            match from_value(&e.value) {
                Ok(record) => self.stats = Stats::load(&record),
                Err(err) => error!("record {STATS}: {err}"),
            }
        }
        let known = !catalogue.is_empty();
        for e in catalogue {
            self.ledger.stamps.insert(e.k, e.stamp);
        }
        if !known {
            self.fleet.types_at = now;
        }
        self.loaded_at = now;
        self.heard_at = now;
        self.placement.next_at = now;
        let watch = Watch {
            since: loading.epochs.get(JOB).copied().unwrap_or(0),
            ..Watch::default()
        };
        self.watches.insert(JOB, watch);
        let ids: Vec<String> = cancels
            .iter()
            .filter_map(|e| match JobKey::parse(&e.k) {
                Some(JobKey::Cancelled(id)) => Some(id.to_string()),
                _ => None,
            })
            .collect();
        for e in &cancels {
            if let Err(err) = from_value::<CancelRecord>(&e.value) {
                error!("record {}: {err}; taken as a cancellation", e.k);
            }
            self.ledger.stamps.insert(e.k.clone(), e.stamp);
        }
        for id in ids {
            self.on_cancelled(cx, &id);
        }
        let complete: Vec<JobIx> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.all_done())
            .map(|(ix, _)| ix)
            .collect();
        for ix in complete {
            self.end_if_over(cx, ix);
        }
        info!(
            "loaded {} jobs, {} machines with tasks",
            self.jobs.len(),
            self.machines.len()
        );
    }

    fn add_job(&mut self, cx: &Ctx, key: &str, value: &Value, stamp: u64) {
        let Some(id) = key.strip_prefix(JOB) else {
            return;
        };
        if self.jobs.find(id).is_some() || self.ended.iter().any(|e| e == id) {
            return;
        }
        match from_value::<JobRecord>(value) {
            Ok(record) if record.spec.uid == id => {
                self.ledger.stamps.insert(key.to_string(), stamp);
                let job = Job::new(record, cx.now.steady, cx.now.wall);
                self.jobs.insert(job);
                self.placement.want(cx.now.steady);
            }
            Ok(_) => error!("record {key}: holds another job; set aside"),
            Err(e) => {
                if !self.corrupt.iter().any(|k| k == key) {
                    error!("record {key}: {e}; set aside");
                    self.corrupt.push(key.to_string());
                }
            }
        }
    }

    /// Reads completed tasks back, in the present form or in that of an earlier version.
    fn load_done(&mut self, key: &str, value: &Value) {
        let rest = key.strip_prefix(DONE).unwrap_or_default();
        if let Some((id, n)) = rest.rsplit_once('/') {
            let job = self.jobs.find(id).and_then(|ix| self.jobs.get_mut(ix));
            match (job, n.parse(), from_value::<DoneRecord>(value)) {
                (Some(job), Ok(n), Ok(record)) => job.load_done(n, &record.bits),
                (None, _, _) => {}
                _ => error!("record {key}: unreadable; its tasks may run again"),
            }
            return;
        }
        match (rest.parse::<u64>(), from_value::<DonePageRecord>(value)) {
            (Ok(page), Ok(record)) => {
                for (id, n, bits) in record.jobs {
                    let Some(ix) = self.jobs.find(&id) else {
                        continue;
                    };
                    if let Some(job) = self.jobs.get_mut(ix) {
                        job.load_done(n, &bits);
                        self.done_pages.adopt(page, ix, n, job);
                    }
                }
            }
            (page, _) => {
                // It is kept as it is. Results of tasks are kept too, so those that it lists end
                // at once when they are started again.
                error!("record {key}: unreadable; its tasks may run again");
                if let Ok(page) = page {
                    self.done_pages.set_aside(page);
                }
            }
        }
    }

    fn load_page(&mut self, cx: &mut Ctx, key: &str, value: &Value) {
        let number = key
            .rsplit_once('/')
            .and_then(|(_, n)| n.parse::<u64>().ok());
        let (Some(number), Ok(page)) = (number, from_value::<PageRecord>(value)) else {
            // Nothing can be said of what it lists: no task of any live job may be started
            // until every machine has been heard or released, which `quarantine` sees to.
            error!("record {key}: unreadable; waiting for proof from all machines");
            self.placement.quarantine_until = cx.now.steady + cx.settings.lease * 2 + 10 * SECOND;
            if let Some(n) = number {
                self.page_mut(n).broken = true;
            }
            return;
        };
        self.page_mut(number);
        for m in page.machines {
            for (job_id, task, attempt) in m.t {
                let Some(ix) = self.jobs.find(&job_id) else {
                    // Its job is over; whatever still runs is stopped when the worker reports it.
                    continue;
                };
                let Some(job) = self.jobs.get_mut(ix) else {
                    continue;
                };
                job.take(task);
                *job.zones.entry(m.zone.clone()).or_insert(0) += 1;
                let spec = &job.spec;
                let assignment = Assignment {
                    job: ix,
                    job_id,
                    task,
                    attempt,
                    tenure: m.tenure,
                    page: number,
                    written: 0,
                    cpus: spec.vcpus,
                    gpus: spec.accelerators,
                    memory: spec.memory_gb,
                    team: spec.owner.clone(),
                    zone: m.zone.clone(),
                    launched: Some((0, 0)),
                    seen: Seen::Never,
                    decided: cx.now.steady,
                    started: None,
                    expected: self.stats.expected_run(spec),
                    stop: None,
                };
                self.page_mut(number).add(&m.m, &assignment);
                self.recovered_machine(cx, &m.m, &m.zone, m.tenure);
                self.hold(&m.m, assignment);
            }
        }
    }

    /// Notes that the job is cancelled: nothing of it starts any more, and what may run is
    /// stopped.
    pub(crate) fn on_cancelled(&mut self, cx: &mut Ctx, id: &str) {
        let Some(ix) = self.jobs.find(id) else {
            return;
        };
        let now = cx.now.steady;
        let Some(job) = self.jobs.get_mut(ix) else {
            return;
        };
        if job.cancelled.is_some() {
            return;
        }
        job.cancelled = Some(now);
        job.ending = None;
        self.stop_job(cx, ix);
        self.end_if_over(cx, ix);
    }

    /// Starts writing the end of a job if it has come to it.
    pub(crate) fn end_if_over(&mut self, cx: &Ctx, ix: JobIx) {
        let Some(job) = self.jobs.get_mut(ix) else {
            return;
        };
        let ending = if job.cancelled.is_some() {
            let live: u32 = job.zones.values().sum();
            (live == 0).then_some(Ending::Aborted)
        } else {
            job.all_done().then_some(Ending::Done)
        };
        if ending.is_some() && ending != job.ending {
            job.ending = ending;
            self.ledger.touch(Rec::Over(ix), cx.now.steady);
        }
    }

    /// Tasks completed and running of a live job, for display.
    pub fn progress_of(&self, id: &str) -> Option<(u64, u64)> {
        let job = self.jobs.get(self.jobs.find(id)?)?;
        Some((job.done_count, job.running as u64))
    }

    /// All timers of the leader.
    fn run(&mut self, cx: &mut Ctx, watch: &mut dyn Stopwatch) {
        let now = cx.now.steady;
        if now >= self.extend_at {
            // A reply may be lost: the next renewal goes out all the same.
            self.extend_at = now + cx.tuning.leader_lease_us / 4;
            self.extending = true;
            let path = format!("/leases/{}/extend", self.lease);
            let pending = self.pending(LeadCall::Extend);
            let timeout = cx.tuning.leader_lease_us / 4;
            cx.call(Target::State, "POST", path, Vec::new(), timeout, pending);
        }
        if !self.loaded() {
            return self.run_loading(cx);
        }
        self.run_watches(cx);
        self.run_machines(cx);
        self.run_placement(cx, watch);
        self.run_fleet(cx);
        if now >= self.stats_at {
            self.stats_at = now + 20 * SECOND;
            if self.stats.changed {
                self.stats.changed = false;
                self.ledger.touch_by(Rec::Stats, now + SECOND);
            }
        }
        self.run_flush(cx);
        self.run_held(cx);
        if now >= self.progress_at {
            self.progress_at = now + PROGRESS;
            self.send_progress(cx);
        }
    }

    fn run_watches(&mut self, cx: &mut Ctx) {
        let now = cx.now.steady;
        let token = self.token;
        for (prefix, w) in &mut self.watches {
            if w.open || now < w.retry_at {
                continue;
            }
            w.open = true;
            let (what, path, timeout) = if w.relist {
                (
                    LeadCall::List { prefix },
                    format!("/kv?prefix={prefix}&page=1000"),
                    STATE_TIMEOUT,
                )
            } else {
                (
                    LeadCall::Watch { prefix },
                    format!("/changes?prefix={prefix}&since={}&block_ms=10000", w.since),
                    13 * SECOND,
                )
            };
            let pending = Pending::Lead { token, what };
            cx.call(Target::State, "GET", path, Vec::new(), timeout, pending);
        }
    }

    fn on_watch(&mut self, cx: &mut Ctx, prefix: &'static str, outcome: Outcome) {
        let now = cx.now.steady;
        let mut events = Vec::new();
        if let Some(w) = self.watches.get_mut(prefix) {
            w.open = false;
            match outcome {
                Outcome::Answer { status: 200, body } => match wire::from_cbor::<Changes>(&body) {
                    Ok(changes) => {
                        w.since = w.since.max(changes.epoch);
                        w.retry_at = now + 20 * MILLI;
                        events = changes.events;
                    }
                    Err(e) => {
                        warn!("watch {prefix}: {e}");
                        w.retry_at = now + SECOND;
                    }
                },
                Outcome::Answer { status: 410, .. } => {
                    w.relist = true;
                    w.retry_at = now;
                }
                _ => w.retry_at = now + 300 * MILLI,
            }
        }
        for event in events {
            self.on_event(cx, event);
        }
    }

    fn on_event(&mut self, cx: &mut Ctx, event: Event) {
        if let (Some(key), Some(value)) = (&event.put, &event.value) {
            match JobKey::parse(key) {
                Some(JobKey::Live(_)) => self.add_job(cx, key, value, event.stamp),
                Some(JobKey::Cancelled(id)) if self.jobs.find(id).is_some() => {
                    self.ledger.stamps.insert(key.clone(), event.stamp);
                    self.on_cancelled(cx, id);
                }
                _ => {}
            }
        }
    }

    /// A watch was too old and its keys were listed again.
    fn on_relist(&mut self, cx: &mut Ctx, prefix: &'static str, list: Option<EntryList>) {
        let now = cx.now.steady;
        let Some(w) = self.watches.get_mut(prefix) else {
            return;
        };
        w.open = false;
        let Some(list) = list else {
            w.retry_at = now + 300 * MILLI;
            return;
        };
        w.relist = false;
        w.since = list.epoch;
        w.retry_at = now;
        for e in list.entries {
            let event = Event {
                put: Some(e.k),
                delete: None,
                value: Some(e.value),
                stamp: e.stamp,
            };
            self.on_event(cx, event);
        }
    }

    fn on_reply(&mut self, cx: &mut Ctx, what: LeadCall, outcome: Outcome) -> Result<(), String> {
        match what {
            LeadCall::Extend => {
                if let Outcome::Answer { status: 404, .. } = outcome {
                    return Err("the lease has ended".into());
                }
                if !matches!(outcome, Outcome::Answer { status: 200, .. }) {
                    self.extend_at = self
                        .extend_at
                        .min(cx.now.steady + cx.tuning.leader_lease_us / 12);
                }
                Ok(())
            }
            LeadCall::List { prefix } => {
                self.on_list(cx, prefix, outcome);
                Ok(())
            }
            LeadCall::Read { key } => {
                self.on_read(cx, key, outcome);
                Ok(())
            }
            LeadCall::Watch { prefix } => {
                self.on_watch(cx, prefix, outcome);
                Ok(())
            }
            LeadCall::Flush => self.on_flush(cx, outcome),
            LeadCall::FlushReadBack => self.on_read_back(cx, outcome),
            LeadCall::Refresh { key } => {
                self.on_refresh(cx, &key, outcome);
                Ok(())
            }
            LeadCall::Fleet(call) => {
                self.on_fleet(cx, call, outcome);
                Ok(())
            }
            LeadCall::Direct { machine } => {
                self.on_direct(cx, &machine, outcome);
                Ok(())
            }
        }
    }

    // ---- the ledger's traffic ----

    /// Renders a record's current content.
    fn render(&self, cx: &Ctx, rec: &Rec) -> Option<Rendered> {
        let single = |key: String, change: Change| Rendered {
            when: vec![self.ledger.unchanged(&key)],
            apply: vec![change],
        };
        match rec {
            Rec::Done(n) => {
                let key = format!("{DONE}{n}");
                let record = self.done_pages.record(*n, &self.jobs);
                Some(single(key.clone(), put(key, &record)))
            }
            Rec::Page(n) => {
                let key = format!("{PAGE}0/{n}");
                Some(single(key.clone(), put(key, &self.page_record(*n))))
            }
            Rec::Hire(name) => {
                let key = format!("{HIRE}{name}");
                match self.fleet.hire_record(name) {
                    Some(record) => Some(single(key.clone(), put(key, &record))),
                    None if self.ledger.stamps.contains_key(&key) => {
                        Some(single(key.clone(), Change::Delete { delete: key }))
                    }
                    None => None,
                }
            }
            Rec::Stats => Some(single(
                STATS.into(),
                put(STATS.into(), &self.stats.record()),
            )),
            Rec::Catalogue => {
                let builds = cx.catalogue.clone()?;
                let record = wire::http::Catalogue { builds };
                Some(single(CATALOGUE.into(), put(CATALOGUE.into(), &record)))
            }
            Rec::Over(ix) => {
                let job = self.jobs.get(*ix)?;
                let ending = job.ending?;
                let (live, past) = (job_key(&job.id), format!("{PAST}{}", job.id));
                let mut cancel = cancel_key(&job.id);
                let old_cancel = format!("{OLD_CANCEL}{}", job.id);
                if self.ledger.stamps.contains_key(&old_cancel) {
                    cancel = old_cancel;
                }
                let record = PastRecord {
                    status: ending.status().into(),
                    shards: job.tasks(),
                };
                let mut r = Rendered {
                    when: vec![absent(&past), self.ledger.unchanged(&live)],
                    apply: vec![
                        put(past, &record),
                        Change::Delete {
                            delete: live.clone(),
                        },
                    ],
                };
                match ending {
                    // A cancellation that came first wins.
                    Ending::Done => r.when.push(absent(&cancel)),
                    Ending::Aborted => {
                        r.when.push(self.ledger.unchanged(&cancel));
                        r.apply.push(Change::Delete { delete: cancel });
                    }
                }
                // A record of an earlier version; if there are more, those are left behind,
                // which costs room but is harmless.
                let first = format!("{DONE}{}/0", job.id);
                if self.ledger.stamps.contains_key(&first) {
                    r.when.push(self.ledger.unchanged(&first));
                    r.apply.push(Change::Delete { delete: first });
                }
                Some(r)
            }
        }
    }

    /// Writes dirty records, as many as one transaction and the rate allow.
    fn run_flush(&mut self, cx: &mut Ctx) {
        let now = cx.now.steady;
        if self.ledger.in_flight.is_some() || now < self.ledger.not_before {
            return;
        }
        if self.ledger.next_due().is_none_or(|due| due > now) {
            return;
        }
        if let Some(key) = self.ledger.stale.first().cloned() {
            let pending = self.pending(LeadCall::Refresh { key: key.clone() });
            self.ledger.back_off(now, STATE_TIMEOUT);
            cx.read_key(&key, pending);
            return;
        }
        let ops_left = cx.settings.txn_ops.min(cx.lead_writes.available(now));
        let mut txn = Txn {
            when: vec![When {
                k: LEADER.into(),
                stamp: self.token,
            }],
            apply: Vec::new(),
        };
        let mut recs = Vec::new();
        let mut bytes = 0;
        let mut short = false;
        for rec in self.ledger.due(now) {
            let Some(r) = self.render(cx, &rec) else {
                self.ledger.forget(&rec);
                continue;
            };
            let size = wire::to_cbor(&r.apply).len();
            if txn.apply.len() + r.apply.len() > ops_left || bytes + size > 40 * 1024 {
                short = true;
                if recs.is_empty() && ops_left >= Ctx::cost(&rec) {
                    continue;
                }
                break;
            }
            bytes += size;
            txn.when.extend(r.when);
            txn.apply.extend(r.apply);
            recs.push((rec.clone(), self.ledger.version(&rec)));
        }
        if recs.is_empty() {
            if short {
                self.ledger.not_before = cx.lead_writes.ready_at(now, 4.0).max(now + 5 * MILLI);
            }
            return;
        }
        cx.lead_writes.take(now, txn.apply.len() as f64);
        let pending = self.pending(LeadCall::Flush);
        let call = cx.post_state("/txn", &txn, pending);
        self.ledger.not_before = now + cx.tuning.flush_interval_us;
        self.ledger.in_flight = Some(Batch { recs, txn, call });
    }

    fn on_flush(&mut self, cx: &mut Ctx, outcome: Outcome) -> Result<(), String> {
        let now = cx.now.steady;
        let Some(batch) = self.ledger.in_flight.take() else {
            return Ok(());
        };
        match outcome {
            Outcome::Answer { status: 200, body } => match wire::from_cbor::<Epoch>(&body) {
                Ok(e) => {
                    self.flush_failures = 0;
                    self.flushed(cx, &batch, e.epoch);
                }
                Err(_) => self.read_back(cx, batch),
            },
            Outcome::Answer { status: 409, body } => {
                let failed = wire::from_cbor::<TxnFailed>(&body)
                    .map(|f| f.failed)
                    .unwrap_or_default();
                if failed.iter().any(|k| k == LEADER) {
                    return Err("another leader was elected".into());
                }
                for key in failed {
                    if let Some(JobKey::Cancelled(id)) = JobKey::parse(&key) {
                        self.on_cancelled(cx, id);
                    }
                    self.ledger.stale.push(key);
                }
                self.ledger.back_off(now, MILLI);
            }
            Outcome::Unknown => self.read_back(cx, batch),
            Outcome::Answer { status, body } => {
                if status != 429 && status != 503 {
                    let text = String::from_utf8_lossy(&body[..body.len().min(200)]).to_string();
                    error!("state service: flush got {status}: {text}");
                }
                if status == 429 {
                    cx.lead_writes.drain(now);
                }
                self.flush_failed(cx);
            }
            Outcome::NotSent => self.flush_failed(cx),
        }
        Ok(())
    }

    fn flush_failed(&mut self, cx: &mut Ctx) {
        self.flush_failures = (self.flush_failures + 1).min(4);
        let pause = (100 * MILLI) << self.flush_failures;
        let jitter = cx.jitter(pause / 4);
        self.ledger.back_off(cx.now.steady, pause / 2 + jitter);
    }

    /// The outcome of a flush is unknown: looks whether it was applied.
    fn read_back(&mut self, cx: &mut Ctx, batch: Batch) {
        let key = batch
            .puts()
            .next()
            .or_else(|| batch.deletes().next())
            .map(str::to_string);
        self.ledger.in_flight = Some(batch);
        if let Some(key) = key {
            let pending = self.pending(LeadCall::FlushReadBack);
            cx.read_key(&key, pending);
        }
    }

    fn on_read_back(&mut self, cx: &mut Ctx, outcome: Outcome) -> Result<(), String> {
        let Some(batch) = self.ledger.in_flight.take() else {
            return Ok(());
        };
        let put_key = batch.puts().next().map(str::to_string);
        let known = put_key
            .as_ref()
            .and_then(|k| self.ledger.stamps.get(k).copied())
            .unwrap_or(0);
        match outcome {
            Outcome::Answer { status: 200, body } => {
                let stamp = wire::from_cbor::<Entry<Value>>(&body)
                    .map(|e| e.stamp)
                    .unwrap_or(0);
                // We alone write this key, so a new stamp is that of the batch: all its changes
                // have the same.
                if put_key.is_some() && stamp > known {
                    self.flushed(cx, &batch, stamp);
                } else {
                    self.flush_failed(cx);
                }
            }
            Outcome::Answer { status: 404, .. } if put_key.is_none() => {
                self.flushed(cx, &batch, 0);
            }
            Outcome::Answer { status: 404, .. } => self.flush_failed(cx),
            _ => {
                // Still no contact: ask again after a pause, with the batch kept.
                self.flush_failed(cx);
                self.ledger.stale.extend(
                    batch
                        .puts()
                        .chain(batch.deletes())
                        .map(str::to_string)
                        .collect::<Vec<_>>(),
                );
            }
        }
        Ok(())
    }

    /// Takes the stamp of a key that differs from what we knew: an earlier transaction of ours
    /// was applied after all.
    fn on_refresh(&mut self, cx: &mut Ctx, key: &str, outcome: Outcome) {
        let now = cx.now.steady;
        self.ledger.not_before = now;
        match outcome {
            Outcome::Answer { status: 200, body } => {
                match wire::from_cbor::<Entry<Value>>(&body) {
                    Ok(e) => {
                        self.ledger.stamps.insert(key.to_string(), e.stamp);
                        if let Some(id) = key.strip_prefix(PAST) {
                            // The end of this job was written before.
                            let ended: Option<PastRecord> = from_value(&e.value).ok();
                            if let (Some(ix), Some(_)) = (self.jobs.find(id), ended) {
                                self.ledger.forget(&Rec::Over(ix));
                                self.job_ended(ix);
                            }
                        }
                    }
                    Err(_) => return self.flush_failed(cx),
                }
            }
            Outcome::Answer { status: 404, .. } => {
                self.ledger.stamps.remove(key);
            }
            _ => return self.flush_failed(cx),
        }
        self.ledger.stale.retain(|k| k != key);
    }

    fn flushed(&mut self, cx: &mut Ctx, batch: &Batch, epoch: u64) {
        self.ledger.applied(batch, epoch);
        self.held_stir = true;
        for (rec, _) in &batch.recs {
            match rec {
                Rec::Over(ix) => {
                    if let Some(j) = self.jobs.get(*ix) {
                        info!(
                            "{}: {} after {} s, began after {} s, {} tasks of {} for {}, {} s each",
                            j.id,
                            j.ending.map_or("over", Ending::status),
                            j.age(cx.now.steady) / SECOND,
                            j.began_at.unwrap_or(0) / SECOND,
                            j.tasks(),
                            j.spec.workclass,
                            j.spec.owner,
                            j.run_mean.0 / SECOND
                        );
                    }
                    self.job_ended(*ix)
                }
                Rec::Hire(name) => self.fleet.hire_written(cx.now.steady, name),
                _ => {}
            }
        }
    }

    fn job_ended(&mut self, ix: JobIx) {
        if let Some(job) = self.jobs.remove(ix) {
            for key in [
                job_key(&job.id),
                cancel_key(&job.id),
                format!("{OLD_CANCEL}{}", job.id),
                format!("{PAST}{}", job.id),
                format!("{DONE}{}/0", job.id),
            ] {
                self.ledger.stamps.remove(&key);
            }
            self.done_pages.drop_job(ix, &job);
            self.progress_dirty.remove(&ix);
            self.ledger.forget(&Rec::Over(ix));
            self.ended.push_back(job.id);
            if self.ended.len() > 200 {
                self.ended.pop_front();
            }
        }
    }

    fn send_progress(&mut self, cx: &mut Ctx) {
        // A node that was not there missed what did not change since: all of it goes out again
        // now and then.
        self.progress_round += 1;
        if self.progress_round.is_multiple_of(PROGRESS_WHOLE) {
            self.progress_dirty
                .extend(self.jobs.iter().map(|(ix, _)| ix));
        }
        let mut changed = Vec::new();
        while let (Some(ix), true) = (self.progress_dirty.pop_first(), changed.len() < 500) {
            if let Some(j) = self.jobs.get(ix) {
                changed.push((j.id.clone(), j.done_count, j.running as u64));
            }
        }
        if changed.is_empty() {
            return;
        }
        let message = wire::to_peer(&PeerRequest::Progress {
            from: cx.settings.member.clone(),
            token: self.token,
            jobs: changed,
        });
        for peer in 0..cx.settings.siblings.len() {
            cx.call(
                Target::Peer(peer),
                "POST",
                "/peer".into(),
                message.clone(),
                900 * MILLI,
                Pending::Ignore,
            );
        }
    }
}
