//! How late hosts in touch are with manifests and with confirmations of plans.

use firspindle_core::connection::GossipMessage;

use crate::model::{FleetModel, StoreLink};

/// Time without a fault after which a host counts as in touch, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// Longest times for which a host in touch lacked a manifest that the store had, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Lateness {
    /// Of hosts that the store served.
    pub served: u64,
    /// Of hosts that the store turned away or had done so recently.
    pub refused: u64,
    /// Greatest age of the plan's confirmation at a host that the store served.
    pub plan_age: u64,
}

impl Lateness {
    /// Returns the longer of each of the times.
    pub fn max(self, other: Self) -> Self {
        Self {
            served: self.served.max(other.served),
            refused: self.refused.max(other.refused),
            plan_age: self.plan_age.max(other.plan_age),
        }
    }
}

impl FleetModel {
    /// Notes how late the node is with a manifest, if its host is in touch.
    pub fn check(&mut self, host: usize) {
        let now = self.now_ms;
        self.note_links(host);
        if !self.cuts.is_empty() {
            self.joined_since = now;
        }
        let node = &self.nodes[host];
        let missing = usize::try_from(node.version).expect("a small number");
        let Some(written) = self.written.get(missing) else { return };
        let late = now - written;
        if now >= node.served_since + CONTACT_MS {
            self.lateness.served = self.lateness.served.max(late);
        } else if now >= node.touched_since + CONTACT_MS {
            // Others can pass it on for as long as one of them is served and reaches this one.
            let served_since = self.nodes.iter().map(|row| row.served_since).min().unwrap_or(now);
            let since = served_since.max(self.joined_since);
            self.lateness.refused = self.lateness.refused.max(late.min(now.saturating_sub(since)));
        }
    }

    pub fn note_plan_age(&mut self, sender: usize, bytes: &[u8]) {
        let message = GossipMessage::decode(bytes).expect("datagrams arrive as they were sent");
        let age = message.echo.and_then(|echo| echo.age_ms).unwrap_or(0);
        if self.now_ms >= self.nodes[sender].served_since + CONTACT_MS {
            self.lateness.plan_age = self.lateness.plan_age.max(age);
        }
    }

    pub fn note_links(&mut self, host: usize) {
        let now = self.now_ms;
        let node = &mut self.nodes[host];
        if node.link != StoreLink::Open {
            node.served_since = node.served_since.max(now);
        }
        if node.link == StoreLink::Cut {
            node.touched_since = node.touched_since.max(now);
        }
    }
}
