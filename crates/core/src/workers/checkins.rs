//! Check-ins: who may answer them, and the commands that the answers carry.

use super::*;

impl Lead {
    pub(super) fn on_checkin(&mut self, cx: &mut Ctx, request: u64, report: Report) {
        let now = cx.now.steady;
        if !self.loaded() {
            self.heard_at = now;
            // Renews the lease and announces the token while state is still being read, which an
            // outage may make long: cancelled tasks must be gone in time all the same.
            let orders = cancelled_here(cx, &report);
            return self.answer_checkin(cx, request, orders);
        }
        if self.fleet.is_gone(&report.perch) {
            // The machine was deleted: a late copy of a report.
            return cx.answer(request, 421, &Redirect { steward: None });
        }
        let (machine, tenure, tally) = (report.perch.clone(), report.tenure, report.tally);
        let fresh = self.on_report(cx, report, Source::Checkin);
        if !fresh {
            // A late copy. It renews no lease, and whatever the answer, nobody takes it. Unless it is a
            // check-in that the answer to a direct command overtook: its worker takes our answer, so
            // its lease began when it sent this. That lease was once taken to have run out by the
            // answer before.
            if let Some(m) = self.machines.get_mut(&machine) {
                if tenure == m.tenure && (tenure, tally) > m.checkin {
                    m.checkin = (tenure, tally);
                    m.last_answer = now;
                }
            }
            return self.answer_checkin(cx, request, Vec::new());
        }
        self.heard_at = now;
        // A worker reports one at a time: the one before was given up.
        self.refuse_held(cx, &machine, "overtaken by a later report");
        let Some(m) = self.machines.get_mut(&machine) else {
            return self.answer_checkin(cx, request, Vec::new());
        };
        m.last_answer = now;
        let mut held = Held {
            request,
            round: 0,
            machine,
            tenure,
            tally,
            until: now + HOLD,
        };
        // Room that jobs wait for: the answer waits for the next round of placement.
        if self.placement.backlog && m.free().0 > EPS && m.usable(now, 3 * cx.settings.report) {
            self.placement.want(now);
            held.round = self.placement.rounds + 1;
        }
        if self.may_be_answered(cx, &held) {
            let orders = self.orders(cx, &held);
            if orders.is_empty() && self.may_park(cx, &held.machine) {
                return self.park(cx, held);
            }
            return self.answer_checkin(cx, request, orders);
        }
        if self.held.is_empty() {
            self.held_until = held.until;
        }
        self.held.push(held);
    }

    pub(super) fn answer_checkin(&self, cx: &mut Ctx, request: u64, orders: Vec<Order>) {
        let answer = CheckinAnswer {
            warrant: self.token,
            orders,
        };
        cx.answer(request, 200, &answer);
    }

    pub(super) fn is_durable(&self, after: &[(Rec, u64)], job: Option<JobIx>) -> bool {
        // Once a job is over, its terminal record stands for all of its tasks.
        let over = job.is_some_and(|ix| self.jobs.get(ix).is_none());
        after.iter().all(|(rec, version)| {
            (over && matches!(rec, Rec::Done(..))) || self.ledger.is_durable(rec, *version)
        })
    }

    /// The commands for the answer to a check-in. Launches go only here: such an answer is never
    /// carried out late. Each launched task is on record, each reaped outcome too.
    pub(super) fn orders(&mut self, cx: &Ctx, held: &Held) -> Vec<Order> {
        let now = cx.now.steady;
        let mut orders = Vec::new();
        let Some(m) = self.machines.get(&held.machine) else {
            return orders;
        };
        if m.tenure != held.tenure {
            return orders;
        }
        for r in &m.reaps {
            if orders.len() < MOST_ORDERS && self.is_durable(&r.after, r.job) {
                orders.push(Order {
                    verb: "reap".into(),
                    shard: r.shard.clone(),
                    attempt: r.attempt,
                    leeway_s: None,
                });
            }
        }
        let (ledger, jobs) = (&self.ledger, &self.jobs);
        let Some(m) = self.machines.get_mut(&held.machine) else {
            return orders;
        };
        let recalled = m.recall_at.is_some();
        for a in &mut m.assignments {
            if orders.len() >= MOST_ORDERS {
                break;
            }
            if let Some(stop) = &mut a.stop {
                if a.launched.is_some() {
                    stop.sent = Some(now);
                    orders.push(stop_order(&a.job_id, a.task, a.attempt, stop.leeway));
                }
                continue;
            }
            let alive = jobs
                .get(a.job)
                .is_some_and(|j| j.cancelled.is_none() && !j.is_done(a.task));
            let written = ledger.is_durable(&Rec::Page(a.page), a.written);
            if a.launched.is_none() && written && alive && !recalled && a.tenure == held.tenure {
                a.launched = Some((held.tenure, held.tally));
                orders.push(Order {
                    verb: "launch".into(),
                    shard: format!("{}/{}", a.job_id, a.task),
                    attempt: a.attempt,
                    leeway_s: None,
                });
            }
        }
        orders
    }
}

impl Node {
    pub(crate) fn on_checkin(&mut self, id: u64, body: &[u8]) {
        let report: Report = match wire::from_cbor(body) {
            Ok(r) => r,
            Err(e) => return self.cx.refuse(id, 400, &e.to_string()),
        };
        let bad = |s: &str| s.is_empty() || s.len() > 150;
        if bad(&report.perch) || bad(&report.yard) || bad(&report.build) || report.tenure == 0 {
            return self
                .cx
                .refuse(id, 400, "perch, yard, build or tenure is invalid");
        }
        self.cx.token = self.cx.token.max(report.warrant);
        let me = self.cx.settings.member.clone();
        let unread = self.lead.as_ref().is_some_and(|l| !l.loaded());
        let blind = unread && !self.may_renew();
        match &mut self.lead {
            // It may have come in during the standstill, and the grant may have run out.
            Some(lead) if lead.doubtful() => {
                self.cx.refuse(id, 503, "it is not certain who leads");
            }
            // Before state is read only the node's own knowledge of cancellations stops tasks.
            Some(_) if blind => {
                self.cx.refuse(id, 503, "cancellations are not known yet");
            }
            Some(lead) if report.warrant <= lead.token => lead.on_checkin(&mut self.cx, id, report),
            // Somebody with a higher token acts for the controllers: not us, and it is not known
            // here who.
            Some(_) => self.cx.answer(id, 421, &Redirect { steward: None }),
            None => {
                let steward = self
                    .election
                    .leader()
                    .filter(|l| *l != me)
                    .map(str::to_string);
                self.cx.answer(id, 421, &Redirect { steward });
            }
        }
    }
}
