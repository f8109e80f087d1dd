use crate::calls::JobViewCall;
use crate::controller::Controller;
use crate::scheduler::store_reads::Watch;
use crate::test_support::leader_before_loading;
use crate::{Effect, Outcome, SECOND};
use grebewood_wire::http::{KeyValue, KeyValueList};
use grebewood_wire::records::{job_key, JOB_PREFIX};
use grebewood_wire::Value;

fn page(first: u64, revision: u64, has_more: bool) -> KeyValueList {
    let entry = KeyValue {
        key: job_key(&format!("req-{first}")),
        value: Value::Null,
        mod_revision: first,
        lease: None,
    };
    KeyValueList {
        entries: vec![entry],
        has_more,
        revision,
    }
}

/// Returns the paths of the requests that the leader sends now.
fn requests(controller: &mut Controller) -> Vec<String> {
    let leader = controller.leader.as_mut().expect("a leader");
    leader.run_watches(&mut controller.context);
    let effects = std::mem::take(&mut controller.context.effects);
    let paths = effects.into_iter().filter_map(|effect| match effect {
        Effect::Call(call) => Some(call.path),
        Effect::Answer { .. } => None,
    });
    paths.collect()
}

fn watching_leader() -> Controller {
    let mut controller = leader_before_loading(20 * SECOND);
    let leader = controller.leader.as_mut().expect("a leader");
    leader.watches.insert(JOB_PREFIX, Watch::default());
    controller.context.effects.clear();
    controller
}

#[test]
fn a_relist_is_read_page_by_page() {
    let mut controller = watching_leader();
    assert_eq!(requests(&mut controller).len(), 1);
    let too_old = Outcome::Answer {
        status: 410,
        body: Vec::new(),
    };
    let take = |controller: &mut Controller, list| {
        let leader = controller.leader.as_mut().expect("a leader");
        leader.on_relist(&mut controller.context, JOB_PREFIX, Some(list));
    };
    let leader = controller.leader.as_mut().expect("a leader");
    leader.on_watch(&mut controller.context, JOB_PREFIX, too_old);
    assert_eq!(requests(&mut controller), ["/kv?prefix=job/&page=1000"]);
    take(&mut controller, page(1, 40, true));
    assert_eq!(
        requests(&mut controller),
        ["/kv?prefix=job/&since=job/req-1&page=1000"]
    );
    take(&mut controller, page(2, 45, false));
    // Changes since the first page was read are reported again.
    assert_eq!(
        requests(&mut controller),
        ["/changes?prefix=job/&since=40&block_ms=10000"]
    );
}

#[test]
fn a_watch_with_too_many_changes_is_relisted() {
    let mut controller = watching_leader();
    requests(&mut controller);
    let leader = controller.leader.as_mut().expect("a leader");
    leader.on_watch(&mut controller.context, JOB_PREFIX, Outcome::TooLarge);
    assert_eq!(requests(&mut controller), ["/kv?prefix=job/&page=1000"]);

    let now = controller.context.now.steady;
    controller.on_job_view_reply(JobViewCall::Watch, now, Outcome::TooLarge);
    controller.context.now.steady += SECOND;
    controller.run_job_view();
    let paths = requests(&mut controller);
    assert!(
        paths.iter().any(|path| path.starts_with("/kv?prefix=job/")),
        "{paths:?}"
    );
}
