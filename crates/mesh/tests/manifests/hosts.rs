//! Settings and records of the hosts of a fleet.

use std::net::SocketAddr;
use std::time::Duration;

use firspindle_core::version::HostRecord;
use firspindle_edge::TopicRecord;
use firspindle_mesh::process::MeshSettings;

use crate::node_settings::node_settings;

/// Time within which a manifest is to be in force on sites of so many hosts.
const fn apply_limit(hosts: usize) -> Duration {
    Duration::from_millis(match hosts {
        0..=14 => 2_000,
        15..=70 => 2_500,
        _ => 3_000,
    })
}

pub fn settings(index: usize, hosts: usize, centres: usize) -> MeshSettings {
    let octet = |value: usize| u8::try_from(value).expect("a small number");
    let ip = [10, 0, octet(index / 250), octet(index % 250)].into();
    let mut settings =
        node_settings(&format!("host-{index:03}"), &format!("centre-{}", index % centres), ip);
    settings.bounds.apply = apply_limit(hosts);
    settings
}

/// Returns the host that has an address.
pub fn host_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { unreachable!("addresses are IPv4") };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}

fn host_record(index: usize, hosts: usize, centres: usize) -> Vec<u8> {
    let settings = settings(index, hosts, centres);
    let record = HostRecord {
        host: settings.host,
        data_centre: settings.data_centre,
        incarnation: 1,
        revision: 0,
        forward: settings.listen.forward,
        gossip: settings.listen.gossip,
        service: settings.service,
        upstream: None,
    };
    record.encode()
}

pub fn host_records(hosts: usize, centres: usize) -> Vec<TopicRecord> {
    let record =
        |index| topic_record(&format!("host-{index:03}"), host_record(index, hosts, centres), 0);
    (0..hosts).map(record).collect()
}

pub fn topic_record(key: &str, value: Vec<u8>, offset: u64) -> TopicRecord {
    TopicRecord { key: key.into(), value: value.into(), offset }
}
