//! Which plans a node calls settled for its upstream.

use std::time::{Duration, Instant};

use firspindle_core::connection::{DemandReport, OwnReport, UpstreamReport};
use firspindle_core::process::{
    GrantGuards, GrantPermit, GrantTable, GrantTiming, RangeCandidate, ServiceCandidates,
    ShareFilling, plan_ranges,
};
use firspindle_core::version::{RangePlan, UpstreamInstance, UpstreamState};

const SERVICE: &str = "orders";

fn instance() -> UpstreamInstance {
    UpstreamInstance { id: "u0".into(), born_ms: 1 }
}

/// A node that started again has applied the plan that gave cells to its upstream, and waits for their earlier
/// holder; the upstream's first heartbeat to it is still to come. A planner that records this plan as settled lets
/// the node's next process grant the cells at once.
#[test]
fn a_node_without_a_heartbeat_calls_no_cell_settled_that_waits() {
    let now = Instant::now();
    let candidate = RangeCandidate {
        host: "host-0".into(),
        instance: instance(),
        weight: 8,
        warm: true,
        settled_version: 0,
        capacity: 0.0,
        demand: DemandReport::default(),
    };
    let services = [ServiceCandidates {
        service: SERVICE.into(),
        candidates: vec![candidate],
        filling: ShareFilling::Whole,
    }];
    let plan = plan_ranges(&RangePlan::default(), 2, &services).expect("a plan");
    let ranges = plan.service(SERVICE).expect("the service").clone();
    let mut table =
        GrantTable::new("host-0".into(), GrantTiming::default(), GrantGuards::all(), now);
    table.apply_ranges(2, ranges, false, now);
    let before = table.settled_version(now);
    let report = UpstreamReport {
        instance: instance(),
        service: SERVICE.into(),
        slots: 8,
        state: UpstreamState::Ready,
        cold_remaining: Duration::ZERO,
        sequence: 1,
        lists_keys: true,
        holds: Vec::new(),
        freed: Vec::new(),
    };
    let report = OwnReport::check(report, SERVICE, true).expect("it lists keys");
    table.apply_report(&report, GrantPermit::default(), now);
    assert!(table.waiting_cells(now).1 > 0);
    assert!(table.settled_version(now) < 2);
    assert!(before < 2, "settled up to {before} while cells wait");
}
