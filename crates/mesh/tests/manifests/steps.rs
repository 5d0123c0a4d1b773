//! Ways by which a manifest reaches a host: each is in time with one step that fails, and with two.

use crate::model::{FleetModel, StoreLink};
use crate::{SITES, Site, WARM_UP};

/// A site of the target size, with the bound of the largest one.
const TARGET: Site = Site { hosts: 840, centres: 5, limit: 3_000 };

/// Steps that fail.
#[derive(Debug, Clone, Copy)]
struct FailedSteps {
    /// Nodes that read the store for others do not reach it.
    readers: bool,
    /// No peer answers a request for its state.
    fetches: bool,
    /// The first read of each host that others tell of manifests gets no answer.
    reads: bool,
}

fn assert_in_time(steps: FailedSteps) {
    for site in SITES.iter().chain([&TARGET]) {
        let mut fleet = FleetModel::new(site.hosts, site.centres);
        fleet.run(WARM_UP);
        let relays = site.centres * 2;
        if steps.readers {
            (0..relays).for_each(|relay| fleet.set_link(relay, StoreLink::Cut));
        }
        fleet.serves_state = !steps.fetches;
        for _ in 0..3 {
            fleet.nodes.iter_mut().skip(relays).for_each(|node| node.loses_read = steps.reads);
            fleet.write_manifest();
            fleet.run(5_000);
        }
        let late = fleet.lateness.served;
        println!("{} hosts, {steps:?}: {late} ms", site.hosts);
        assert!(late <= site.limit, "{} hosts, {steps:?}: {late} ms", site.hosts);
    }
}

/// Guards against fetches from peers that do not answer, each of which is repeated while it waits.
#[test]
fn a_node_that_is_behind_asks_two_peers_at_most() {
    for site in &SITES {
        let mut fleet = FleetModel::new(site.hosts, site.centres);
        fleet.run(WARM_UP);
        fleet.serves_state = false;
        fleet.write_manifest();
        fleet.run(1_000);
        assert!(fleet.most_fetches <= 2, "{} hosts: {} fetches", site.hosts, fleet.most_fetches);
    }
}

#[test]
fn manifests_are_in_time_while_no_peer_serves_its_state() {
    assert_in_time(FailedSteps { readers: false, fetches: true, reads: false });
}

#[test]
fn manifests_are_in_time_while_no_peer_serves_its_state_and_a_read_is_lost() {
    assert_in_time(FailedSteps { readers: false, fetches: true, reads: true });
}

#[test]
fn manifests_are_in_time_while_all_readers_are_cut_off() {
    assert_in_time(FailedSteps { readers: true, fetches: false, reads: false });
}

#[test]
fn manifests_are_in_time_while_all_readers_are_cut_off_and_a_read_is_lost() {
    assert_in_time(FailedSteps { readers: true, fetches: false, reads: true });
}
