//! One round of the simulation: messages arrive, nodes act, send and append.

use std::time::{Duration, Instant};

use firspindle_core::connection::{DedupState, Envelope};
use firspindle_core::process::{LifeCycle, NodeAction};
use firspindle_core::version::{LogRecord, epoch_of, epoch_offset, offset_in_log};

use super::{Fault, World};

impl World {
    pub(super) fn deliver(&mut self) {
        let due: Vec<_> = self.in_transit.extract_if(.., |row| row.0 <= self.now).collect();
        for (_, from, to, envelope) in due {
            if self.links[from][to] && self.nodes[to].alive {
                self.nodes[to].inbox.push(envelope);
            }
        }
    }

    pub(super) fn step_node(&mut self, index: usize) -> Result<(), Fault> {
        let now = self.local(index, self.now);
        // After a pause, a tick or the waiting messages may come first.
        if self.rng.below(2) == 0 {
            self.nodes[index].machine.tick(now);
            self.carry_out_actions(index)?;
        }
        if self.nodes[index].log_reachable && self.log_up {
            self.enter_epoch(index, self.log_epoch, now);
            let next = offset_in_log(self.nodes[index].machine.state().next_offset);
            for offset in next..=self.log.len() as u64 {
                let record =
                    self.log[usize::try_from(offset).expect("log offsets fit usize") - 1].clone();
                let offset = epoch_offset(self.log_epoch, offset);
                self.nodes[index].machine.handle_record(offset, Some(&record), now);
                self.carry_out_actions(index)?;
            }
        }
        for envelope in std::mem::take(&mut self.nodes[index].inbox) {
            self.enter_epoch(index, epoch_of(envelope.next_offset), now);
            self.nodes[index].machine.handle_message(envelope, now);
            self.carry_out_actions(index)?;
        }
        self.report_failures(index, now)?;
        self.report_idle(index, now)?;
        self.nodes[index].machine.tick(now);
        self.carry_out_actions(index)?;
        self.start_next_incarnation(index);
        Ok(())
    }

    /// What the node sent under rights of the older epoch may run until its grant ends.
    fn enter_epoch(&mut self, index: usize, epoch: u64, now: Instant) {
        if epoch > self.nodes[index].machine.state().epoch() {
            self.leave_orphaned_runs(index);
            self.nodes[index].machine.enter_epoch(epoch, now);
        }
    }

    pub(super) fn report_failures(&mut self, index: usize, _now: Instant) -> Result<(), Fault> {
        let node = &mut self.nodes[index];
        let next = node.machine.state().next_offset;
        let at = self.now;
        let due: Vec<_> =
            node.failed_appends.extract_if(.., |row| row.0 <= at && next > row.2).collect();
        for (_, record, _) in due {
            self.nodes[index].machine.append_failed(record);
            self.carry_out_actions(index)?;
        }
        Ok(())
    }

    pub(super) fn report_idle(&mut self, index: usize, now: Instant) -> Result<(), Fault> {
        let at = self.now;
        let due: Vec<_> =
            self.nodes[index].idle_reports.extract_if(.., |row| row.0 <= at).collect();
        for (_, partition) in due {
            let dedup_state = DedupState::default();
            self.nodes[index].machine.partition_idle(partition, dedup_state, now);
            self.carry_out_actions(index)?;
        }
        let due: Vec<_> =
            self.nodes[index].abandoned_reports.extract_if(.., |row| row.0 <= at).collect();
        for (_, partition, _) in due {
            let dedup_state = DedupState::default();
            self.nodes[index].machine.abandoned_idle(partition, dedup_state, now);
            self.carry_out_actions(index)?;
        }
        Ok(())
    }

    /// Starts the next incarnation after one ended, as the runtime does, or ends the process.
    pub(super) fn start_next_incarnation(&mut self, index: usize) {
        if !matches!(self.nodes[index].machine.life(), LifeCycle::Gone(_)) {
            return;
        }
        if self.nodes[index].ends_process {
            self.nodes[index].alive = false;
            return;
        }
        // What the ended incarnation sent may run until its own grant ends, but no longer.
        self.leave_orphaned_runs(index);
        let boot_count = self.nodes[index].boot_count + 1;
        let info = Self::info(index, boot_count, self.nodes[index].process);
        let now = self.local(index, self.now);
        let node = &mut self.nodes[index];
        let next = node.machine.clone().next_incarnation(info, Duration::from_secs(4), now);
        node.machine = next;
        node.boot_count = boot_count;
        node.idle_reports.clear();
        node.in_flight.clear();
        node.failed_appends.clear();
        node.ends_process = false;
    }

    pub(super) fn carry_out_actions(&mut self, index: usize) -> Result<(), Fault> {
        for action in self.nodes[index].machine.take_actions() {
            match action {
                NodeAction::Send { address, envelope } => self.send(index, &address, envelope),
                NodeAction::Append { record } => self.append(index, record),
                NodeAction::Open { partition, fence, dedup_complete, .. } => {
                    self.opened += 1;
                    self.note_open(index, partition, fence)?;
                    match dedup_complete {
                        true => self.check_dedup(partition),
                        false => {
                            self.missing_dedup.insert((index, partition), self.now);
                        }
                    }
                }
                NodeAction::CompleteDedup { partition, .. } => {
                    self.check_dedup(partition);
                    let since = self.missing_dedup.remove(&(index, partition));
                    self.dedup_times.extend(since.map(|since| self.now.saturating_sub(since)));
                }
                NodeAction::RaiseFence { partition, fence } => {
                    self.note_fence(index, partition, fence)?;
                }
                NodeAction::Close { partition } => {
                    self.missing_dedup.remove(&(index, partition));
                    let end = self.now + Duration::from_millis(self.rng.below(400));
                    let idle = if self.guards.idle_release { end } else { self.now };
                    self.nodes[index].in_flight.push((end, partition));
                    self.nodes[index].idle_reports.push((idle, partition));
                }
                NodeAction::Abandon { partition } => {
                    self.missing_dedup.remove(&(index, partition));
                    let idle = self.now + Duration::from_millis(self.rng.below(400));
                    let boot_count = self.nodes[index].boot_count;
                    self.nodes[index].abandoned_reports.push((idle, partition, boot_count));
                }
                NodeAction::Suspects { .. } | NodeAction::Finished => {}
            }
        }
        Ok(())
    }

    pub(super) fn send(&mut self, from: usize, address: &str, envelope: Envelope) {
        let to: usize = address.parse().expect("peer addresses are node indices");
        if !self.links[from][to] || self.rng.below(50) == 0 {
            return;
        }
        let delay = match self.rng.below(20) {
            0 => self.rng.below(3000),
            _ => self.rng.below(40),
        };
        if self.rng.below(30) == 0 {
            let late = Duration::from_millis(self.rng.below(2500));
            self.in_transit.push((self.now + late, from, to, envelope.clone()));
        }
        self.in_transit.push((self.now + Duration::from_millis(delay), from, to, envelope));
    }

    pub(super) fn append(&mut self, index: usize, record: LogRecord) {
        let id = record.id;
        let reachable = self.log_up && self.nodes[index].log_reachable;
        if reachable {
            self.log.push(record.clone());
            if self.lose_answers && self.rng.below(2) == 0 {
                // A retry within the network appends a second copy.
                self.log.push(record);
            }
            return;
        }
        let at = self.now + Duration::from_millis(200);
        // The failure is reported only after the node read everything that is in the log now.
        let end = epoch_offset(self.log_epoch, self.log.len() as u64);
        self.nodes[index].failed_appends.push((at, id, end));
    }
}
