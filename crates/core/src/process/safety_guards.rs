//! Switches that let tests disable one safety rule at a time.

/// Rules that exclusive ownership depends on. For each one, a test disables it and checks that
/// an invariant is then violated.
///
/// A running node always uses [`SafetyGuards::all`]; no setting can disable a guard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(clippy::struct_excessive_bools)]
pub struct SafetyGuards {
    /// A newer assignment is served only after the holders under earlier ones have released the
    /// partition or their leases are revoked.
    pub earlier_holders: bool,
    /// A witness promises a revocation only after its last grant expired, and never grants the
    /// holder again afterwards.
    pub promise: bool,
    /// A holder switches to a newer witness set only after a majority of the older set allowed it:
    /// these witnesses know the newer set and have not promised to revoke the holder's lease.
    pub confirmed_switch: bool,
    /// A witness that folded a newer set of a holder refuses renewals under an older one.
    pub old_set_refuses: bool,
    /// A proof of revocation needs a majority of every older witness set as well.
    pub old_sets_closed: bool,
    /// The lease is checked at each use, not only when it is renewed.
    pub lease_recheck: bool,
    /// A node takes over only after folding every assignment that the earlier holder may have
    /// acted under, so that its fence is higher.
    pub fence_order: bool,
    /// The holder counts its lease shorter than the witness does, by the clock drift margin.
    pub drift_margin: bool,
    /// A partition is released only once none of its requests is in flight.
    pub idle_release: bool,
    /// Partitions are assigned in a newer epoch of the log only after every right of older ones has
    /// ended.
    pub earlier_epochs: bool,
    /// A node joins a newer epoch of the log a full lease after it gave up the older one.
    pub epoch_wait: bool,
    /// A node says in its join which members of older epochs the log does not tell of.
    pub epoch_members: bool,
}

impl SafetyGuards {
    /// All guards enabled.
    pub const fn all() -> Self {
        Self {
            earlier_holders: true,
            promise: true,
            confirmed_switch: true,
            old_set_refuses: true,
            old_sets_closed: true,
            lease_recheck: true,
            fence_order: true,
            drift_margin: true,
            idle_release: true,
            earlier_epochs: true,
            epoch_wait: true,
            epoch_members: true,
        }
    }
}
