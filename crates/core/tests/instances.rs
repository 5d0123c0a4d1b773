//! Heartbeats of an upstream's earlier life that arrive after another life has registered.

use std::time::{Duration, Instant};

use firspindle_core::connection::{DemandReport, OwnReport, UpstreamReport};
use firspindle_core::process::{
    GrantGuards, GrantPermit, GrantTable, GrantTiming, RangeCandidate, ServiceCandidates,
    ShareFilling, plan_ranges,
};
use firspindle_core::version::{RangePlan, UpstreamInstance, UpstreamState};

const HOST: &str = "host-0";

fn report(instance: &UpstreamInstance, sequence: u64) -> OwnReport {
    let report = UpstreamReport {
        instance: instance.clone(),
        service: "orders".into(),
        slots: 9,
        state: UpstreamState::Ready,
        cold_remaining: Duration::ZERO,
        sequence,
        lists_keys: true,
        holds: Vec::new(),
        freed: Vec::new(),
    };
    OwnReport::check(report, "orders", true).expect("it is of the host's upstream")
}

fn next_plan(before: &RangePlan, instance: &UpstreamInstance) -> RangePlan {
    let candidate = RangeCandidate {
        host: HOST.into(),
        instance: instance.clone(),
        weight: 9,
        warm: true,
        settled_version: 0,
        capacity: 0.0,
        demand: DemandReport::default(),
    };
    let service = ServiceCandidates {
        service: "orders".into(),
        candidates: vec![candidate],
        filling: ShareFilling::Whole,
    };
    plan_ranges(before, before.version + 1, &[service]).expect("the holder changes")
}

/// Lets one life end and another register and be granted its keys; then a late heartbeat of the first
/// arrives.
fn assert_late_heartbeat_is_ignored(first: &UpstreamInstance, second: &UpstreamInstance) {
    let start = Instant::now();
    let timing = GrantTiming::default();
    let mut table = GrantTable::new(HOST.into(), timing, GrantGuards::all(), start);
    let apply = |table: &mut GrantTable, plan: &RangePlan, now| {
        let ranges = plan.service("orders").expect("the service is planned").clone();
        table.apply_ranges(plan.version, ranges, true, now);
    };
    table.apply_report(&report(first, 7), GrantPermit::default(), start);
    let plan = next_plan(&RangePlan::default(), first);
    apply(&mut table, &plan, start);
    table.end_instance();
    table.apply_report(&report(second, 1), GrantPermit::default(), start);
    let second_plan = next_plan(&plan, second);
    apply(&mut table, &second_plan, start);
    // Every hold under the plan of the first life has ended.
    let now = start + Duration::from_secs(20);
    let until = Some(now + Duration::from_secs(2));
    let permit = GrantPermit { acquire_until: until, renew_until: until, trusts_reports: true };
    let reply = table.apply_report(&report(second, 2), permit, now).expect("it may be granted");
    assert!(!reply.rows.is_empty(), "the second life is granted its keys");
    table.apply_report(&report(first, 8), permit, now);
    let ended = table.ended_fences(now);
    let held = |fence| fence >= second_plan.version;
    assert!(
        !ended.iter().flat_map(|row| &row.1).any(|row| held(row.fence)),
        "the fence of keys that the second life holds has ended"
    );
    assert_eq!(table.instance(), Some(second), "the first life has ended");
    let reply = table.apply_report(&report(second, 3), permit, now).expect("it may be granted");
    assert!(!reply.rows.is_empty(), "the second life keeps its keys");
}

fn instance(id: &str, born_ms: u64) -> UpstreamInstance {
    UpstreamInstance { id: id.into(), born_ms }
}

/// Guards against a live upstream that is never granted keys again.
#[test]
fn a_late_heartbeat_of_an_ended_life_does_not_replace_the_next() {
    assert_late_heartbeat_is_ignored(&instance("u0", 0), &instance("u1", 0));
}

/// Guards against keys of a live upstream that are given to another.
#[test]
fn a_life_that_began_on_a_clock_set_back_keeps_its_keys() {
    assert_late_heartbeat_is_ignored(&instance("u0", 9_000), &instance("u0", 5_000));
}

/// Guards against a table that grows for as long as its node runs.
#[test]
fn a_table_does_not_grow_with_the_lives_of_its_upstream() {
    let mut now = Instant::now();
    let mut table = GrantTable::new(HOST.into(), GrantTiming::default(), GrantGuards::all(), now);
    let mut plan = RangePlan::default();
    let mut live = |table: &mut GrantTable, lives: std::ops::Range<u64>| {
        for life in lives {
            let upstream = instance(&format!("u{life:04}"), 1_000 + life);
            table.apply_report(&report(&upstream, 1), GrantPermit::default(), now);
            plan = next_plan(&plan, &upstream);
            let ranges = plan.service("orders").expect("the service is planned").clone();
            table.apply_ranges(plan.version, ranges, true, now);
            now += Duration::from_secs(20);
            for (_, rows) in table.ended_fences(now) {
                for row in &rows {
                    table.apply_ended(row);
                }
                table.remove_acknowledged(&rows);
            }
        }
    };
    // From then on all versions have as many digits.
    live(&mut table, 0..120);
    let earlier = format!("{table:?}").len();
    live(&mut table, 120..240);
    let later = format!("{table:?}").len();
    assert!(later <= earlier + earlier / 50, "{earlier} and {later} bytes");
    let late = report(&instance("u0238", 1_238), 9);
    assert!(!table.is_newest(&late), "a late heartbeat of an earlier life is known as such");
}
