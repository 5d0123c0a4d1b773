//! Settings and records of the hosts of a fleet.

use std::net::SocketAddr;

use firspindle_core::version::HostRecord;
use firspindle_edge::TopicRecord;
use firspindle_mesh::process::MeshSettings;

use crate::node_settings::node_settings;

pub fn settings(index: usize, centres: usize) -> MeshSettings {
    let octet = |value: usize| u8::try_from(value).expect("a small number");
    let ip = [10, 0, octet(index / 250), octet(index % 250)].into();
    node_settings(&format!("host-{index:03}"), &format!("centre-{}", index % centres), ip)
}

/// Returns the host that has an address.
pub fn host_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { unreachable!("addresses are IPv4") };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}

fn host_record(index: usize, centres: usize) -> Vec<u8> {
    let settings = settings(index, centres);
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
    let record = |index| topic_record(&format!("host-{index:03}"), host_record(index, centres), 0);
    (0..hosts).map(record).collect()
}

pub fn topic_record(key: &str, value: Vec<u8>, offset: u64) -> TopicRecord {
    TopicRecord { key: key.into(), value: value.into(), offset }
}
