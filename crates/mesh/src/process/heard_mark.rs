//! What peers are known to have applied that this node lacks, and since when.

use std::time::Instant;

use firspindle_core::connection::StateMark;

/// Newest records that any peer said to have applied.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct HeardMark {
    newest: StateMark,
    /// Since when a peer is known to have a manifest or evacuations that this node lacks.
    manifests_since: Option<Instant>,
    /// The same for plans.
    plans_since: Option<Instant>,
}

fn lacks_manifests(known: &StateMark, other: &StateMark) -> bool {
    other.manifest > known.manifest || other.evacuations > known.evacuations
}

fn lacks_plans(known: &StateMark, other: &StateMark) -> bool {
    other.plan > known.plan || other.plan_position > known.plan_position
}

impl HeardMark {
    /// Notes what a peer has applied; `known` is what this node has. Returns whether its manifest is newer
    /// than any that was heard of before.
    pub(crate) fn note(&mut self, heard: &StateMark, known: &StateMark, now: Instant) -> bool {
        let newer = heard.manifest > known.manifest.max(self.newest.manifest);
        if lacks_manifests(known, heard) {
            self.manifests_since.get_or_insert(now);
        }
        if lacks_plans(known, heard) {
            self.plans_since.get_or_insert(now);
        }
        let newest = &mut self.newest;
        newest.manifest = newest.manifest.max(heard.manifest);
        newest.evacuations = newest.evacuations.max(heard.evacuations);
        newest.plan = newest.plan.max(heard.plan);
        newest.plan_position = newest.plan_position.max(heard.plan_position);
        newer
    }

    /// Notes what this node has applied by now.
    pub(crate) fn settle(&mut self, known: &StateMark) {
        if !lacks_manifests(known, &self.newest) {
            self.manifests_since = None;
        }
        if !lacks_plans(known, &self.newest) {
            self.plans_since = None;
        }
    }

    /// Since when a peer is known to have a manifest or evacuations that this node lacks.
    pub(crate) const fn manifests_since(&self) -> Option<Instant> {
        self.manifests_since
    }

    /// Since when a peer is known to have plans that this node lacks.
    pub(crate) const fn plans_since(&self) -> Option<Instant> {
        self.plans_since
    }
}
