//! Heartbeats of upstreams and the replies to them.

use std::time::Instant;

use firspindle_core::connection::UpstreamReport;

use super::super::codec::SERVICE;
use super::World;
use super::event::Event;

impl World {
    pub(super) fn send_heartbeat(&mut self, host: usize) {
        let now = self.now();
        let delay = self.delay();
        let incarnation = self.hosts[host].incarnation;
        let Some(upstream) = self.hosts[host].upstream.as_mut().filter(|row| row.up) else {
            return;
        };
        upstream.expire(now);
        let report = Box::new(upstream.report(SERVICE));
        self.enqueue(host, incarnation, delay, Event::Report { report, sent_at: now });
        self.enqueue(host, 0, 870, Event::SendHeartbeat);
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
        if let Some(reply) = reply {
            let instance = report.instance.clone();
            self.enqueue(host, 0, delay, Event::Reply { instance, reply, sent_at });
        }
        let state = self.hosts[host].state.as_mut().expect("the node is running");
        let recipients = state.ended_fence_hosts(now);
        let actions = state.datagrams(&recipients, now);
        self.execute(host, actions);
        self.step(host);
    }
}
