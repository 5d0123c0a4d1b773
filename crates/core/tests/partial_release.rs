//! Upstreams that release the keys of a cell one by one.

use std::fmt::Write;
use std::time::{Duration, Instant};

use firspindle_core::connection::{FreedRow, HeldRow, OwnReport, UpstreamReport};
use firspindle_core::process::{GrantGuards, GrantPermit, GrantTable, GrantTiming};
use firspindle_core::version::{
    CELLS, CellRow, HolderRow, ServiceRanges, UpstreamInstance, UpstreamState,
};

const HOSTS: [&str; 2] = ["host-0", "host-1"];

/// Cell that changes hands, with the keys from 80 to 87.
const MOVED_CELL: usize = 10;

fn instance(host: usize) -> UpstreamInstance {
    UpstreamInstance { id: format!("u{host}").into(), born_ms: 1 }
}

/// Returns a plan in which host 0 holds all cells under fence 1 but one, which is another host's.
fn ranges(holder: u16, fence: u64) -> ServiceRanges {
    let holders = (0..2).map(|host| HolderRow {
        host: HOSTS[host].into(),
        instance: instance(host),
        settled_version: 0,
    });
    let mut cells = vec![CellRow { holder: 0, fence: 1 }; CELLS];
    cells[MOVED_CELL] = CellRow { holder, fence };
    ServiceRanges::new("orders".into(), holders.collect(), &cells)
}

/// Keys that a report lists as held: first key, last key and fence.
type KeyRow = (u16, u16, u64);

/// Keys that a report lists as freed: first key, last key and handover token.
type FreedKeys<'a> = (u16, u16, &'a str);

fn own_report(host: usize, sequence: u64, holds: &[KeyRow], freed: &[FreedKeys]) -> OwnReport {
    let held =
        |(first, last, fence): &KeyRow| HeldRow { first: *first, last: *last, fence: *fence };
    let released = |(first, last, token): &FreedKeys| FreedRow {
        first: *first,
        last: *last,
        handover: (*token).into(),
    };
    let report = UpstreamReport {
        instance: instance(host),
        service: "orders".into(),
        slots: 9,
        state: UpstreamState::Ready,
        cold_remaining: Duration::ZERO,
        sequence,
        lists_keys: true,
        holds: holds.iter().map(held).collect(),
        freed: freed.iter().map(released).collect(),
    };
    OwnReport::check(report, "orders", true).expect("it is of the host's upstream")
}

/// The node of a host, in whose service one cell changes hands.
struct TestNode {
    host: usize,
    table: GrantTable,
    now: Instant,
    sequence: u64,
}

impl TestNode {
    fn start(host: usize, guards: GrantGuards) -> Self {
        let now = Instant::now();
        let table = GrantTable::new(HOSTS[host].into(), GrantTiming::default(), guards, now);
        Self { host, table, now, sequence: 0 }
    }

    fn plan(&mut self, version: u64, holder: u16, fence: u64) {
        self.table.apply_ranges(version, ranges(holder, fence), true, self.now);
    }

    /// Applies a report and returns what is granted, and what has ended of the moved cell.
    fn report(&mut self, holds: &[KeyRow], freed: &[FreedKeys]) -> String {
        self.sequence += 1;
        self.now += Duration::from_millis(90);
        let until = Some(self.now + Duration::from_secs(2));
        let permit = GrantPermit { acquire_until: until, renew_until: until, trusts_reports: true };
        let report = own_report(self.host, self.sequence, holds, freed);
        let reply = self.table.apply_report(&report, permit, self.now).expect("it may be granted");
        let mut text = String::new();
        for row in &reply.rows {
            write!(text, "[{}-{} {} {:?}] ", row.first, row.last, row.fence, row.handover)
                .expect("writing to a string succeeds");
        }
        text + &format!("ended {:?}", self.ended())
    }

    fn ended(&mut self) -> Vec<u64> {
        let rows = self.table.ended_fences(self.now);
        rows.iter().flat_map(|(_, rows)| rows).map(|row| row.fence).collect()
    }
}

const BEFORE: KeyRow = (0, 79, 1);
const AFTER: KeyRow = (88, 65_535, 1);

/// Returns a node whose upstream was told to release a cell that it held.
fn releasing_node(guards: GrantGuards) -> TestNode {
    let mut node = TestNode::start(0, guards);
    node.report(&[], &[]);
    node.plan(1, 0, 1);
    node.report(&[], &[]);
    node.report(&[(0, 65_535, 1)], &[]);
    node.plan(2, 1, 2);
    node.report(&[(0, 65_535, 1)], &[]);
    node
}

/// Guards against a cell that is given away with the first key that is released.
#[test]
fn a_cell_is_passed_on_with_its_last_key() {
    let mut node = releasing_node(GrantGuards::all());
    let mut text = String::new();
    let mut play = |holds: &[KeyRow], freed: &[FreedKeys]| {
        writeln!(text, "{holds:?} {freed:?}: {}", node.report(holds, freed))
            .expect("writing to a string succeeds");
    };
    play(&[BEFORE, (80, 87, 1), AFTER], &[]);
    play(&[BEFORE, (83, 83, 1), AFTER], &[(80, 82, "a"), (84, 87, "b")]);
    // The reply was lost, so what was released is told again.
    play(&[BEFORE, (83, 83, 1), AFTER], &[(80, 82, "a"), (84, 87, "b")]);
    play(&[BEFORE, (83, 83, 1), AFTER], &[]);
    play(&[BEFORE, AFTER], &[(83, 83, "c")]);
    insta::assert_snapshot!(text);
    let ended = node.table.ended_fences(node.now);
    let mut next = TestNode::start(1, GrantGuards::all());
    next.report(&[], &[]);
    next.plan(1, 0, 1);
    next.plan(2, 1, 2);
    assert_eq!(next.report(&[], &[]), "ended []");
    for row in ended.iter().flat_map(|(_, rows)| rows) {
        next.table.apply_ended(row);
    }
    let granted = r#"[80-82 2 "a"] [83-83 2 "c"] [84-87 2 "b"] ended []"#;
    assert_eq!(next.report(&[], &[]), granted);
    // It has a part of the cell only, as it took the reply late.
    assert_eq!(next.report(&[(80, 86, 2)], &[]), granted);
    assert_eq!(next.report(&[(80, 87, 2)], &[]), r#"[80-87 2 ""] ended []"#);
}

/// The check that the test above makes: without the guard, the cell is given away at once.
#[test]
fn without_the_wait_for_the_last_key_a_cell_is_passed_on_with_the_first() {
    let mut node = releasing_node(GrantGuards { whole_cells: false, ..GrantGuards::all() });
    node.report(&[BEFORE, (83, 83, 1), AFTER], &[(80, 82, "a"), (84, 87, "b")]);
    assert_eq!(node.ended(), [1]);
}

/// Guards against a released row that is told again and ends a later grant of its cell, whose reply may
/// still arrive.
#[test]
fn a_row_that_was_released_before_a_grant_does_not_end_it() {
    let mut node = releasing_node(GrantGuards::all());
    node.report(&[BEFORE, AFTER], &[(80, 87, "a")]);
    assert_eq!(node.ended(), [1]);
    node.plan(3, 0, 3);
    // The cell is granted anew by the reply to this report, and taken away before the next one.
    node.now += Duration::from_secs(12);
    let text = node.report(&[BEFORE, AFTER], &[(80, 87, "a")]);
    assert!(text.contains("[80-87 3 "), "{text}");
    node.plan(4, 1, 4);
    node.report(&[BEFORE, AFTER], &[(80, 87, "a")]);
    assert!(!node.ended().contains(&3), "the reply may arrive after the report was made");
    // Neither that reply nor the one before it has arrived.
    node.report(&[BEFORE, AFTER], &[(80, 87, "a")]);
    assert!(node.ended().contains(&3));
}

/// Guards against a cell that is given away by a process that knows only what reports say: the parts that
/// were released before its start were told to another process.
#[test]
fn a_node_that_starts_while_keys_are_released_waits_for_the_last_one() {
    let mut node = TestNode::start(0, GrantGuards::all());
    node.sequence = 40;
    node.plan(1, 0, 1);
    node.report(&[BEFORE, (83, 83, 1), AFTER], &[(84, 87, "b")]);
    node.plan(2, 1, 2);
    node.report(&[BEFORE, (83, 83, 1), AFTER], &[(84, 87, "b")]);
    node.report(&[BEFORE, (83, 83, 1), AFTER], &[]);
    assert_eq!(node.ended(), []);
    node.report(&[BEFORE, AFTER], &[(83, 83, "c")]);
    assert_eq!(node.ended(), [1]);
}

/// Guards against a cell that is renewed without the store's word because a part of it is held: the rest
/// may have been released.
#[test]
fn a_part_of_a_cell_is_not_renewed_by_a_report_alone() {
    let mut node = TestNode::start(0, GrantGuards::all());
    node.plan(1, 0, 1);
    let until = Some(node.now + Duration::from_secs(2));
    let permit = GrantPermit { acquire_until: None, renew_until: until, trusts_reports: true };
    let reply = node.table.apply_report(&own_report(0, 1, &[(0, 82, 1)], &[]), permit, node.now);
    let rows = reply.expect("it may be renewed").rows;
    assert_eq!(rows.iter().map(|row| (row.first, row.last)).collect::<Vec<_>>(), [(0, 79)]);
}
