//! Deduplication state that arrives after the takeover.

use firspindle_core::RequestId;
use firspindle_core::connection::{DedupState, RunState, SeenRequest};
use firspindle_core::request::{DEDUP_WAIT_MS, DedupDecision, DedupTable};

/// Unix time of the takeover in milliseconds.
const TAKEOVER_MS: u64 = 1_767_225_600_000;

/// Returns an id of version 7 that was created before the takeover.
fn old_id(number: u8) -> RequestId {
    u128::from(TAKEOVER_MS - 1_000) << 80 | 0x7 << 76 | 0x8 << 60 | u128::from(number)
}

fn ran() -> RunState {
    RunState::Ran { status: 200, content_type: "".into(), body: None }
}

/// State of an earlier owner that ran the first request and does not know of the second.
fn late_state() -> DedupState {
    let rows = [(old_id(1), ran()), (old_id(2), RunState::Unknown)];
    let requests = rows.map(|(id, state)| SeenRequest { id, state }).into();
    DedupState { requests, unknown_before_ms: 0 }
}

/// Guards against orders that are refused as ones that may have run although their earlier owner, which
/// lost its lease in a pause, knows that they did not.
#[test]
fn a_request_waits_for_the_state_of_an_earlier_owner() {
    let mut table = DedupTable::take_over(&[], false, TAKEOVER_MS);
    let ids = [1, 2, 3].map(old_id);
    for id in ids {
        assert_eq!(table.begin(id, false, TAKEOVER_MS + 1), DedupDecision::NotKnownYet);
    }
    table.complete(&[late_state()]);
    let decisions = ids.map(|id| table.begin(id, false, TAKEOVER_MS + 2));
    assert_eq!(
        decisions,
        [DedupDecision::Replay(ran()), DedupDecision::Unknown, DedupDecision::Run]
    );
}

#[test]
fn a_request_whose_earlier_owner_stays_away_may_have_run() {
    let mut table = DedupTable::take_over(&[], false, TAKEOVER_MS);
    let late = TAKEOVER_MS + DEDUP_WAIT_MS;
    assert_eq!(table.begin(old_id(1), false, late), DedupDecision::Unknown);
    // The state goes on to the next owner as incomplete.
    let next = DedupTable::take_over(&[table.export()], true, late);
    assert_eq!(next.clone().begin(old_id(1), false, late), DedupDecision::Unknown);
}

#[test]
fn a_request_that_was_certainly_not_sent_before_does_not_wait() {
    let mut table = DedupTable::take_over(&[], false, TAKEOVER_MS);
    assert_eq!(table.begin(old_id(1), true, TAKEOVER_MS), DedupDecision::Run);
}
