use crate::test_support::leader_before_loading;
use crate::{Effect, Target, MILLI, SECOND};
use grebewood_wire::records::ProvisionRecord;

/// With one call left under the cloud's rate limit, a termination is sent before provisioning requests that are
/// retried: a cancellation may wait for the termination.
#[test]
fn terminations_go_before_provisioning_requests() {
    let mut controller = leader_before_loading(20 * SECOND);
    let mut leader = controller.leader.take().expect("a leader");
    let context = &mut controller.context;
    for n in 0..20 {
        let record = ProvisionRecord {
            machine_type: "std".into(),
            zone: "a".into(),
            spot: false,
            number: 1,
            requested_us: 0,
        };
        leader
            .fleet
            .recover_provision(context, format!("h-7-{n}"), record);
    }
    leader.fleet.terminate("n-000001", context.now.steady);
    context.cloud_requests.discard_tokens(context.now.steady);
    context.now.steady = context.cloud_requests.ready_at(context.now.steady, 1.0) + MILLI;
    context.effects.clear();
    leader.run_fleet(context);
    let paths: Vec<&str> = context
        .effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Call(call) if call.target == Target::Cloud => Some(call.path.as_str()),
            _ => None,
        })
        .collect();
    assert_eq!(paths, ["/rentals/release"]);
}
