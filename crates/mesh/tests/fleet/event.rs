//! Events of a fleet in memory and their order.

use bytes::Bytes;
use firspindle_mesh::version::PeerState;

#[derive(Debug)]
pub enum Event {
    Datagram(Bytes),
    Heartbeat,
    Round,
    Tick,
    Read,
    State(Box<PeerState>),
}

/// An event that is due at a time.
#[derive(Debug)]
pub struct Scheduled {
    pub due: u64,
    pub order: u64,
    pub host: usize,
    pub event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.order) == (other.due, other.order)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.order).cmp(&(other.due, other.order))
    }
}
