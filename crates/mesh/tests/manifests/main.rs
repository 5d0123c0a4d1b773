//! Manifests in fleets in memory: how late they are in force while the store turns hosts away, links
//! are cut and nodes are frozen.

#[path = "../ownership/codec.rs"]
mod codec;
mod evacuations;
mod faults;
mod hosts;
mod lateness;
mod model;
#[path = "../ownership/node_settings.rs"]
mod node_settings;
mod reads;
mod steps;

use model::{FleetModel, StoreLink};

/// A fleet and the time within which a manifest is to be in force there, in milliseconds.
struct Site {
    hosts: usize,
    centres: usize,
    limit: u64,
}

const SITES: [Site; 3] = [
    Site { hosts: 13, centres: 3, limit: 2_000 },
    Site { hosts: 70, centres: 4, limit: 2_500 },
    Site { hosts: 295, centres: 6, limit: 3_000 },
];

/// Time that the limit is stretched by while the store turns hosts away, in milliseconds.
const REFUSED_STRETCH: u64 = 5_000;

/// Age of a plan's confirmation at which keys stop, in milliseconds.
const PERMISSION: u64 = 6_500;

/// Time until the nodes have heard of one another and read as they will, in milliseconds.
const WARM_UP: u64 = 10_000;

/// Writes a manifest a second for a time.
fn write_manifests(fleet: &mut FleetModel, seconds: u64) {
    for _ in 0..seconds {
        fleet.write_manifest();
        fleet.run(1_000);
    }
}

fn assert_in_time(fleet: &FleetModel, limit: u64) {
    let late = fleet.lateness;
    assert!(late.served <= limit, "a host that the store served was late: {late:?}");
    assert!(late.refused <= limit + REFUSED_STRETCH, "a host turned away was late: {late:?}");
    assert!(late.plan_age <= PERMISSION, "the plan of a host that the store served aged: {late:?}");
}

/// Guards against manifests that nobody reads because the relays alone do, and cannot.
fn assert_lost_readers_are_replaced(site: &Site, link: StoreLink) {
    let mut fleet = FleetModel::new(site.hosts, site.centres);
    fleet.run(WARM_UP);
    // The first hosts by name are the relays.
    for host in 0..site.centres * 2 {
        fleet.set_link(host, link);
    }
    write_manifests(&mut fleet, 12);
    println!("{} hosts, {link:?}: {:?}, {} calls", site.hosts, fleet.lateness, fleet.calls);
    assert_in_time(&fleet, site.limit);
}

#[test]
fn manifests_are_read_while_the_store_turns_all_relays_of_13_hosts_away() {
    assert_lost_readers_are_replaced(&SITES[0], StoreLink::Refused);
}

#[test]
fn manifests_are_read_while_the_store_turns_all_relays_of_70_hosts_away() {
    assert_lost_readers_are_replaced(&SITES[1], StoreLink::Refused);
}

#[test]
fn manifests_are_read_while_the_store_turns_all_relays_of_295_hosts_away() {
    assert_lost_readers_are_replaced(&SITES[2], StoreLink::Refused);
}

#[test]
fn manifests_are_read_while_all_relays_of_13_hosts_are_cut_off_from_the_store() {
    assert_lost_readers_are_replaced(&SITES[0], StoreLink::Cut);
}

#[test]
fn manifests_are_read_while_all_relays_of_70_hosts_are_cut_off_from_the_store() {
    assert_lost_readers_are_replaced(&SITES[1], StoreLink::Cut);
}

#[test]
fn manifests_are_read_while_all_relays_of_295_hosts_are_cut_off_from_the_store() {
    assert_lost_readers_are_replaced(&SITES[2], StoreLink::Cut);
}

/// Guards against an outage of the store in which every node calls it.
fn assert_outage_is_probed_seldom(site: &Site, link: StoreLink) {
    let mut fleet = FleetModel::new(site.hosts, site.centres);
    fleet.run(WARM_UP);
    for host in 0..site.hosts {
        fleet.set_link(host, link);
    }
    // The first attempts of all hosts are over.
    fleet.run(5_000);
    let (before, seconds) = (fleet.calls, 20);
    fleet.run(seconds * 1_000);
    let calls = (fleet.calls - before) / seconds;
    println!("{} hosts, {link:?}: {calls} calls a second", site.hosts);
    // A relay repeats a call after a quarter of a second; the others read two topics as eight hosts do
    // that read each 0.9 s, or as relays if they are fewer.
    let relays = site.centres as u64 * 2;
    let others = (site.hosts as u64 - relays) * 4;
    assert!(calls <= relays * 4 + others.min(18).max(others.min(32)), "{calls} calls a second");
}

#[test]
fn an_outage_of_the_store_is_not_probed_by_all_hosts() {
    for site in &SITES {
        assert_outage_is_probed_seldom(site, StoreLink::Cut);
        assert_outage_is_probed_seldom(site, StoreLink::Refused);
    }
}

/// Guards against calls of nodes that others tell of manifests and plans in time.
#[test]
fn without_faults_only_readers_read() {
    for site in &SITES {
        let mut fleet = FleetModel::new(site.hosts, site.centres);
        fleet.run(WARM_UP);
        let before = fleet.calls;
        fleet.run(20_000);
        let calls = fleet.calls - before;
        println!("{} hosts: {calls} calls in 20 s", site.hosts);
        // Each reader reads the plans each 0.9 s. One reads the manifests as often as the others need to
        // rely on it for half of the limit, two rounds of datagrams later; the others each 3 s.
        let readers = (site.hosts as u64 / 50).max(2);
        let confirms = 20_000 / (site.limit / 2 - 600) + 1;
        assert!(calls <= readers * 23 + confirms + (readers - 1) * 7, "{calls} calls");
        write_manifests(&mut fleet, 5);
        println!("{:?}", fleet.lateness);
        assert_in_time(&fleet, site.limit);
    }
}

/// Guards against combinations of faults in which a host that the store serves is not told of a manifest
/// and does not read it. `MANIFEST_SEEDS=5..9` runs these seeds.
#[test]
fn manifests_are_in_force_in_time_during_random_faults() {
    let seeds = std::env::var("MANIFEST_SEEDS").unwrap_or_else(|_| "0..12".into());
    let (first, end) = seeds.split_once("..").expect("a range of seeds");
    let [first, end]: [u64; 2] = [first, end].map(|text| text.parse().expect("a seed"));
    let mut worst = lateness::Lateness::default();
    for seed in first..end {
        let fleet = faults::run_history(seed, SITES[0].hosts, SITES[0].centres);
        let late = fleet.lateness;
        worst = worst.max(late);
        println!("seed {seed}: {late:?}");
        assert_in_time(&fleet, SITES[0].limit);
    }
    println!("worst of seeds {seeds}: {worst:?}");
}
