//! Switches for the proofs.

/// The guards of exclusive ownership, each of which a test takes out to see it fail.
///
/// The product always runs with [`SafetyGuards::all`]; no setting reaches the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(clippy::struct_excessive_bools)]
pub struct SafetyGuards {
    /// Earlier holders must release or lapse before a newer line is served.
    pub earlier_holders: bool,
    /// A promise binds the witness, and is given only after its last grant ran out.
    pub promise: bool,
    /// A holder moves to a newer witness set only when a majority of the older one is clean.
    pub confirmed_move: bool,
    /// A witness that folded a newer set refuses the older one.
    pub old_set_refuses: bool,
    /// A taker needs a majority of every older set as well.
    pub old_sets_closed: bool,
    /// The lease is checked at the moment of use, not only when it was renewed.
    pub lease_recheck: bool,
    /// A taker folds at least what the lapsed holder acted under, so that fences rise.
    pub fence_order: bool,
    /// The holder's lease is shorter than the witness's by the drift margin.
    pub drift_margin: bool,
    /// A release waits until no request of the partition is in flight.
    pub idle_release: bool,
}

impl SafetyGuards {
    /// All guards in place.
    pub const fn all() -> Self {
        Self {
            earlier_holders: true,
            promise: true,
            confirmed_move: true,
            old_set_refuses: true,
            old_sets_closed: true,
            lease_recheck: true,
            fence_order: true,
            drift_margin: true,
            idle_release: true,
        }
    }
}
