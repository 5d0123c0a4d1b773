//! Switches for the proofs of grants by range.

/// The guards of exclusive ownership by range, each of which a test takes out to see it fail.
///
/// The product always runs with [`GrantGuards::all`]; no setting reaches the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(clippy::struct_excessive_bools)]
pub struct GrantGuards {
    /// A node grants only under a plan that was confirmed lately.
    pub confirm: bool,
    /// A new holder waits for the end of each earlier fence.
    pub prior_wait: bool,
    /// A node that starts from a snapshot waits for holders that it cannot name.
    pub snapshot_wait: bool,
    /// A holder that others need not have asked waits for the longer time.
    pub new_member_wait: bool,
    /// A node vouches only once a heartbeat showed that nothing is held under a later plan.
    pub heartbeat_proof: bool,
    /// A fence ends only with the last hold, not when the plan takes the cell away.
    pub hold_end: bool,
}

impl GrantGuards {
    /// All guards in place.
    pub const fn all() -> Self {
        Self {
            confirm: true,
            prior_wait: true,
            snapshot_wait: true,
            new_member_wait: true,
            heartbeat_proof: true,
            hold_end: true,
        }
    }
}
