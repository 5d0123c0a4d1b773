//! Heartbeats of upstreams and the replies to them.

use std::time::Instant;

use firspindle_core::connection::{GrantReply, UpstreamReport};
use firspindle_core::version::UpstreamInstance;
use rand::Rng;

use super::super::codec::SERVICE;
use super::World;
use super::event::Event;

/// Time until the next heartbeat of an upstream that releases keys, in milliseconds.
const RELEASE_INTERVAL_MS: u64 = 90;

/// One in this number of replies is lost although the node has applied the heartbeat.
const REPLIES_PER_LOSS: u32 = 20;

impl World {
    pub(super) fn send_heartbeat(&mut self, host: usize) {
        let now = self.now();
        let delay = self.delay();
        let incarnation = self.hosts[host].incarnation;
        let Some(upstream) = self.hosts[host].upstream.as_mut().filter(|row| row.up) else {
            return;
        };
        upstream.expire(now);
        let report = Box::new(upstream.report(SERVICE, now));
        self.enqueue(host, incarnation, delay, Event::Report { report, sent_at: now });
    }

    /// Sends a heartbeat of an upstream that releases keys, unless it waits for a reply.
    pub(super) fn send_early_heartbeat(&mut self, host: usize) {
        let upstream = self.hosts[host].upstream.as_ref();
        if upstream.is_some_and(|row| row.awaits_reply.is_none()) {
            self.send_heartbeat(host);
        }
    }

    pub(super) fn deliver_report(
        &mut self,
        host: usize,
        report: &UpstreamReport,
        sent_at: Instant,
    ) {
        let now = self.now();
        let delay = self.delay();
        let row = &mut self.hosts[host];
        let state = row.state.as_mut().expect("the node is running");
        state.handle_report(report.clone(), now).expect("it is of the host's upstream");
        let reply = row.codec.reply.lock().expect("the lock is not poisoned").take();
        if !self.rng.random_ratio(1, REPLIES_PER_LOSS) {
            let instance = report.instance.clone();
            self.enqueue(host, 0, delay, Event::Reply { instance, reply, sent_at });
        }
        let state = self.hosts[host].state.as_mut().expect("the node is running");
        let recipients = state.ended_fence_hosts(now);
        let actions = state.datagrams(&recipients, now);
        self.execute(host, actions);
        self.step(host);
    }

    pub(super) fn deliver_reply(
        &mut self,
        host: usize,
        instance: &UpstreamInstance,
        reply: Option<&GrantReply>,
        sent_at: Instant,
    ) {
        let now = self.now();
        let upstream = self.hosts[host].upstream.as_mut();
        let Some(upstream) = upstream.filter(|row| row.instance == *instance && row.up) else {
            return;
        };
        upstream.apply_reply(reply, sent_at, now);
        if !upstream.busy.is_empty() || !upstream.freed.is_empty() {
            self.enqueue(host, 0, RELEASE_INTERVAL_MS, Event::SendEarlyHeartbeat);
        }
    }
}
