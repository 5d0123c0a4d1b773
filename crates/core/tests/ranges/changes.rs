//! Changes between two plans give the newer plan, or are refused.

use firspindle_core::process::plan_ranges;
use firspindle_core::version::{PlanChanges, RangePlan};
use proptest::prelude::*;

use crate::plans::service;

proptest! {
    /// Guards against a plan of a relay that differs from the one on the store, over any sequence of
    /// upstreams that come, go and start again.
    #[test]
    fn changes_give_the_newer_plan(
        steps in prop::collection::vec(prop::collection::vec((0_u16..12, 0_u16..3), 1..12), 2..6),
        first in 0_usize..4,
    ) {
        let mut plans = vec![RangePlan::default()];
        for rows in &steps {
            let last = plans.last().expect("there is a plan").clone();
            plans.extend(plan_ranges(&last, last.version + 1, &service(rows)));
        }
        let newest = plans.last().expect("there is a plan");
        let known = &plans[first.min(plans.len() - 1)];
        let changes = PlanChanges::new(known.version, newest);
        let applied = changes.apply(known);
        prop_assert_eq!(applied.as_ref(), Some(newest));
        // Changes for another plan are noticed.
        let mut other = known.clone();
        other.version += 1;
        prop_assert_eq!(changes.apply(&other), None);
    }
}

/// Guards against changes that are applied to a plan of another history with the same version.
#[test]
fn changes_to_a_plan_of_another_history_are_refused() {
    let rows: Vec<_> = (0..4).map(|host| (host, 0)).collect();
    let first = plan_ranges(&RangePlan::default(), 1, &service(&rows)).expect("a first plan");
    let other = plan_ranges(&RangePlan::default(), 1, &service(&rows[1..])).expect("another plan");
    let second =
        plan_ranges(&first, first.version + 1, &service(&rows[..3])).expect("a second plan");
    assert_eq!(PlanChanges::new(first.version, &second).apply(&other), None);
}
