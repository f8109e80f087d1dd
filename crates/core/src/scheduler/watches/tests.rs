use crate::calls::JobViewCall;
use crate::controller::Controller;
use crate::scheduler::Watch;
use crate::test_support::unread_leader;
use crate::{Effect, Outcome, SECOND};
use grebewood_wire::http::{KeyValue, KeyValueList};
use grebewood_wire::records::{job_key, JOB};
use grebewood_wire::Value;

fn page(first: u64, revision: u64, more: bool) -> KeyValueList {
    let entry = KeyValue {
        key: job_key(&format!("req-{first}")),
        value: Value::Null,
        mod_revision: first,
    };
    KeyValueList {
        entries: vec![entry],
        more,
        revision,
    }
}

/// The paths of the requests that the leader makes now.
fn requests(node: &mut Controller) -> Vec<String> {
    let leader = node.leader.as_mut().expect("a leader");
    leader.run_watches(&mut node.context);
    let effects = std::mem::take(&mut node.context.effects);
    let paths = effects.into_iter().filter_map(|effect| match effect {
        Effect::Call(call) => Some(call.path),
        Effect::Answer { .. } => None,
    });
    paths.collect()
}

fn watching_leader() -> Controller {
    let mut node = unread_leader(20 * SECOND);
    let leader = node.leader.as_mut().expect("a leader");
    leader.watches.insert(JOB, Watch::default());
    node.context.effects.clear();
    node
}

#[test]
fn a_list_that_is_read_anew_has_several_pages() {
    let mut node = watching_leader();
    assert_eq!(requests(&mut node).len(), 1);
    let too_old = Outcome::Answer {
        status: 410,
        body: Vec::new(),
    };
    let take = |node: &mut Controller, list| {
        let leader = node.leader.as_mut().expect("a leader");
        leader.on_relist(&mut node.context, JOB, Some(list));
    };
    let leader = node.leader.as_mut().expect("a leader");
    leader.on_watch(&mut node.context, JOB, too_old);
    assert_eq!(requests(&mut node), ["/kv?prefix=job/&page=1000"]);
    take(&mut node, page(1, 40, true));
    assert_eq!(
        requests(&mut node),
        ["/kv?prefix=job/&since=job/req-1&page=1000"]
    );
    take(&mut node, page(2, 45, false));
    // What changed since the first page was read is told again.
    assert_eq!(
        requests(&mut node),
        ["/changes?prefix=job/&since=40&block_ms=10000"]
    );
}

#[test]
fn changes_that_are_too_many_to_take_are_read_page_by_page() {
    let mut node = watching_leader();
    requests(&mut node);
    let leader = node.leader.as_mut().expect("a leader");
    leader.on_watch(&mut node.context, JOB, Outcome::TooLarge);
    assert_eq!(requests(&mut node), ["/kv?prefix=job/&page=1000"]);

    let now = node.context.now.steady;
    node.on_job_view(JobViewCall::WatchResponse, now, Outcome::TooLarge);
    node.context.now.steady += SECOND;
    node.run_job_view();
    let paths = requests(&mut node);
    assert!(
        paths.iter().any(|p| p.starts_with("/kv?prefix=job/")),
        "{paths:?}"
    );
}
