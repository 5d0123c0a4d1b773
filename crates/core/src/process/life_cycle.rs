//! Life of one incarnation, as types.

use crate::NodeId;

/// Its join record is not folded yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Joining {
    /// Random id of the incarnation, which finds the join record again.
    pub boot_id: u128,
}

/// A member that may own partitions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Serving {
    /// Incarnation.
    pub id: NodeId,
}

/// A member that releases what it owns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Draining {
    /// Incarnation.
    pub id: NodeId,
}

/// Why a node drains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainReason {
    /// The process ends; it witnesses nothing any more.
    ProcessEnds,
    /// The upstream wants to stop; the process stays.
    UpstreamLeaves,
    /// The upstream is gone; the process stays.
    UpstreamGone,
    /// The lease cannot be won back; the process stays.
    LeaseLost,
}

impl DrainReason {
    /// Whether partitions close a few at a time, so that successors are not flooded.
    pub const fn is_gradual(self) -> bool {
        matches!(self, Self::ProcessEnds | Self::UpstreamLeaves)
    }
}

/// An incarnation that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gone {
    /// Incarnation.
    pub id: NodeId,
}

/// An incarnation in state `S`; each step consumes the state before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Incarnation<S> {
    /// State.
    pub state: S,
}

impl Incarnation<Joining> {
    /// Begins an incarnation.
    pub const fn begin(boot_id: u128) -> Self {
        Self { state: Joining { boot_id } }
    }

    /// Its join record was folded at `id`.
    #[must_use]
    pub const fn joined(self, id: NodeId) -> Incarnation<Serving> {
        Incarnation { state: Serving { id } }
    }
}

impl Incarnation<Serving> {
    /// Starts to release.
    #[must_use]
    pub const fn drain(self) -> Incarnation<Draining> {
        Incarnation { state: Draining { id: self.state.id } }
    }

    /// Was declared ended by others.
    #[must_use]
    pub const fn end(self) -> Incarnation<Gone> {
        Incarnation { state: Gone { id: self.state.id } }
    }
}

impl Incarnation<Draining> {
    /// Everything is released.
    #[must_use]
    pub const fn end(self) -> Incarnation<Gone> {
        Incarnation { state: Gone { id: self.state.id } }
    }
}

/// The state of an incarnation, where it must be stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifeCycle {
    /// Joining.
    Joining(Incarnation<Joining>),
    /// Serving.
    Serving(Incarnation<Serving>),
    /// Draining.
    Draining(Incarnation<Draining>),
    /// Gone.
    Gone(Incarnation<Gone>),
}

impl LifeCycle {
    /// Incarnation, once joined and until gone.
    pub const fn id(&self) -> Option<NodeId> {
        match self {
            Self::Serving(incarnation) => Some(incarnation.state.id),
            Self::Draining(incarnation) => Some(incarnation.state.id),
            Self::Joining(_) | Self::Gone(_) => None,
        }
    }

    /// Short name for logs and status.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Joining(_) => "joining",
            Self::Serving(_) => "serving",
            Self::Draining(_) => "draining",
            Self::Gone(_) => "gone",
        }
    }
}
