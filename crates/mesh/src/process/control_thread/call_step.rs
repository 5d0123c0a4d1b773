//! Calls of the control thread to the store, to peers and to the upstream, each a task of its own.

use std::net::SocketAddr;
use std::time::Instant;

use firspindle_core::version::{HostRecord, RangePlan};
use firspindle_edge::{PlatformCodec, StateStore, StateTopic, StoreError};

use super::ControlThread;
use crate::connection::{fetch_state, fetch_upstream_id};
use crate::process::control_state::{PeerPlace, TICK_INTERVAL};
use crate::process::{ControlEvent, PeerTraffic};
use crate::request::elapsed_ms;

impl<C: PlatformCodec, S: StateStore> ControlThread<C, S> {
    pub(super) fn spawn_probe(&self, path: &str) {
        let (tx, probe) =
            (self.tx.clone(), fetch_upstream_id(self.upstream, path, &self.upstream_id));
        tokio::task::spawn_local(async move {
            let _ = tx.send(ControlEvent::UpstreamProbed(probe.await));
        });
    }

    pub(super) fn spawn_fetch(&self, address: SocketAddr, place: PeerPlace) {
        let (tx, shared) = (self.tx.clone(), self.shared.clone());
        let known = self.state.known_state();
        let in_flight = self.fetches_in_flight.clone();
        in_flight.set(in_flight.get() + 1);
        tokio::task::spawn_local(async move {
            let began = Instant::now();
            match fetch_state(address, known).await {
                Ok((state, bytes)) => {
                    shared.metrics.control.count_fetch("fetched");
                    shared.metrics.peer_bytes(PeerTraffic::State, place).inc_by(bytes as u64);
                    let _ = tx.send(ControlEvent::PeerState(state));
                }
                Err(error) => {
                    shared.metrics.control.count_fetch(error.as_str());
                    let took_ms = elapsed_ms(began);
                    log::info!(
                        address:%, error:%, took_ms, in_flight = in_flight.get(),
                        manifest = known.map(|known| known.manifest),
                        plan = known.map(|known| known.plan);
                        "fetching the state of a peer failed"
                    );
                    let _ = tx.send(ControlEvent::FetchFailed(address));
                }
            }
            in_flight.set(in_flight.get() - 1);
        });
    }

    pub(super) fn spawn_put(&self, record: HostRecord) {
        if self.write_pending.replace(true) {
            return;
        }
        let shared = self.shared.clone();
        let (store, tx) = (self.store.clone(), self.tx.clone());
        tokio::task::spawn_local(async move {
            shared.metrics.count_store_call(StateTopic::Hosts, "append");
            let put = store.append(StateTopic::Hosts, &record.host, record.encode(), None).await;
            if let Err(error) = &put {
                log::info!(error:%; "writing the host record failed");
                tokio::time::sleep(TICK_INTERVAL).await;
            }
            let _ = tx.send(ControlEvent::HostWritten(Box::new(record), put.ok()));
        });
    }

    pub(super) fn spawn_append(&self, plan: RangePlan, at: u64) {
        let shared = self.shared.clone();
        let (store, tx, bytes) = (self.store.clone(), self.tx.clone(), plan.encode());
        let began = self.clock.now();
        tokio::task::spawn_local(async move {
            shared.metrics.count_store_call(StateTopic::Plans, "append");
            let appended = store.append(StateTopic::Plans, "plan", bytes, Some(at)).await;
            match &appended {
                Ok(end) => log::info!(end:%; "plan appended"),
                Err(StoreError::Conflict { end }) => {
                    log::info!(end:%; "plan append lost the compare-and-set");
                }
                Err(error) => log::info!(error:%; "plan append failed"),
            }
            let end = match appended {
                Ok(end) | Err(StoreError::Conflict { end }) => Some(end),
                Err(_) => {
                    tokio::time::sleep(TICK_INTERVAL).await;
                    None
                }
            };
            let stored = appended.is_ok().then(|| (Box::new(plan), began));
            let _ = tx.send(ControlEvent::PlanAppended(end, stored));
        });
    }
}
