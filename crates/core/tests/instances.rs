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

fn holder_of(plan: &RangePlan) -> Option<&UpstreamInstance> {
    let ranges = plan.service("orders")?;
    ranges.holder_on(HOST).map(|index| &ranges.holders[index].instance)
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

/// Lets the upstream report on, and answer the health checks that are due; returns after which time it is
/// granted keys again.
fn recovery_time(
    table: &mut GrantTable,
    plan: &RangePlan,
    upstream: &UpstreamInstance,
    start: Instant,
) -> Option<Duration> {
    let mut plan = plan.clone();
    for (count, ms) in (0..15_000).step_by(870).enumerate() {
        let now = start + Duration::from_millis(ms);
        let until = Some(now + Duration::from_secs(2));
        let permit = GrantPermit { acquire_until: until, renew_until: until, trusts_reports: true };
        let sequence = 8 + u64::try_from(count).expect("it is small");
        let reply = table.apply_report(&report(upstream, sequence), permit, now);
        if reply.is_some_and(|reply| !reply.rows.is_empty()) {
            return Some(Duration::from_millis(ms));
        }
        if table.needs_address_check() {
            table.confirm_address(&upstream.id, now);
        }
        if table.instance() == Some(upstream) && holder_of(&plan) != Some(upstream) {
            plan = next_plan(&plan, upstream);
            let ranges = plan.service("orders").expect("the service is planned").clone();
            table.apply_ranges(plan.version, ranges, true, now);
        }
    }
    None
}

/// Guards against a live upstream that is shut out for good by one report that was taken for a newer one.
#[test]
fn a_live_upstream_that_looks_late_is_found_by_a_health_check() {
    let alive = instance("u0", 5_000);
    let wrong = [
        (instance("u1", 9_000), 1),
        (instance("u1", 0), 1),
        (instance("u0", 9_000), 1),
        (instance("u0", 5_000), 1_000_000),
    ];
    for (instance, sequence) in wrong {
        let start = Instant::now();
        let timing = GrantTiming::default();
        let mut table = GrantTable::new(HOST.into(), timing, GrantGuards::all(), start);
        table.apply_report(&report(&alive, 7), GrantPermit::default(), start);
        let plan = next_plan(&RangePlan::default(), &alive);
        let ranges = plan.service("orders").expect("the service is planned").clone();
        table.apply_ranges(plan.version, ranges, true, start);
        table.apply_report(&report(&instance, sequence), GrantPermit::default(), start);
        let time = recovery_time(&mut table, &plan, &alive, start);
        let limit = timing.hold * 4;
        assert!(time.is_some_and(|time| time < limit), "{instance:?} {sequence}: {time:?}");
    }
}

/// Guards against keys that are given to others although their holder lives: that a report under another id
/// started later does not show that the holder has ended.
#[test]
fn a_later_start_under_another_id_ends_no_fence_before_a_health_check() {
    let start = Instant::now();
    let alive = instance("u0", 5_000);
    let mut table = GrantTable::new(HOST.into(), GrantTiming::default(), GrantGuards::all(), start);
    table.apply_report(&report(&alive, 7), GrantPermit::default(), start);
    let plan = next_plan(&RangePlan::default(), &alive);
    let ranges = plan.service("orders").expect("the service is planned").clone();
    table.apply_ranges(plan.version, ranges, true, start);
    let now = start + Duration::from_millis(100);
    table.apply_report(&report(&instance("u1", 9_000), 1), GrantPermit::default(), now);
    assert!(table.ended_fences(now).is_empty(), "a fence ended without proof");
    assert!(table.needs_address_check());
    table.confirm_address("u1", now);
    assert!(!table.ended_fences(now).is_empty(), "the health check is the proof");
}

/// Guards against keys that are given to others while the upstream that is found alive still holds them.
#[test]
fn an_upstream_is_found_alive_only_after_its_holds_have_ended() {
    let start = Instant::now();
    let timing = GrantTiming::default();
    let alive = instance("u0", 5_000);
    let mut table = GrantTable::new(HOST.into(), timing, GrantGuards::all(), start);
    table.apply_report(&report(&alive, 1), GrantPermit::default(), start);
    let plan = next_plan(&RangePlan::default(), &alive);
    let ranges = plan.service("orders").expect("the service is planned").clone();
    table.apply_ranges(plan.version, ranges, true, start);
    let granted_at = start + Duration::from_secs(20);
    let until = Some(granted_at + Duration::from_secs(2));
    let permit = GrantPermit { acquire_until: until, renew_until: until, trusts_reports: true };
    let reply = table.apply_report(&report(&alive, 2), permit, granted_at);
    assert!(!reply.expect("it may be granted").rows.is_empty());
    let wrong = instance("u1", 9_000);
    table.apply_report(&report(&wrong, 1), GrantPermit::default(), granted_at);
    let plan = next_plan(&plan, &wrong);
    let ranges = plan.service("orders").expect("the service is planned").clone();
    table.apply_ranges(plan.version, ranges, true, granted_at);
    let mut now = granted_at;
    for sequence in 3.. {
        now += Duration::from_millis(100);
        if now >= timing.hold_end(granted_at) {
            break;
        }
        table.apply_report(&report(&alive, sequence), GrantPermit::default(), now);
        table.confirm_address("u0", now);
        assert!(table.ended_fences(now).is_empty(), "{:?} after the grant", now - granted_at);
    }
}

/// Guards against an upstream that is replaced by a life that has ended: its late reports stop, and a health
/// check names the present one.
#[test]
fn late_reports_of_an_ended_life_do_not_bring_it_back() {
    let start = Instant::now();
    let (earlier, present) = (instance("u0", 5_000), instance("u1", 9_000));
    let mut table = GrantTable::new(HOST.into(), GrantTiming::default(), GrantGuards::all(), start);
    table.apply_report(&report(&earlier, 1), GrantPermit::default(), start);
    for count in 0..10 {
        let now = start + Duration::from_millis(870 * count);
        table.apply_report(&report(&present, 1 + count), GrantPermit::default(), now);
        table.apply_report(&report(&earlier, 2 + count), GrantPermit::default(), now);
        if table.needs_address_check() {
            table.confirm_address("u1", now);
        }
        assert_eq!(table.instance(), Some(&present));
    }
}
