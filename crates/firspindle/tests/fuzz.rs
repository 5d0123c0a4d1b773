//! Fuzzing of the decoders of bytes from outside, one target each. `FUZZ_CASES` sets the number of
//! cases; the seed is fixed.

use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};

use bytes::Bytes;
use firspindle_core::connection::{DemandReport, GossipMessage, UpstreamLimit};
use firspindle_core::process::{RangeCandidate, ServiceCandidates, ShareFilling, plan_ranges};
use firspindle_core::version::{
    HostRecord, ManifestSpec, RangePlan, UpstreamInstance, UpstreamRecord, UpstreamState,
};
use firspindle_edge::{
    PlatformCodec, UpstreamNotice, parse_retry_after, read_cold_time, read_load,
};
use firspindle_mesh::connection::parse_known_state;
use firspindle_mesh::process::MeshSettings;
use firspindle_mesh::version::{KnownState, StateNews, StateSnapshot};
use firspindle_platform::{JsonCodec, decode_records, encode_record};
use http::{HeaderMap, HeaderName, HeaderValue};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Cases of each target, unless `FUZZ_CASES` names another number.
const CASES: usize = 200_000;

/// Seed of the cases.
const SEED: u64 = 45;

/// Most changes to one input.
const MAX_CHANGES: usize = 5;

/// Parts that readers handle specially.
const TOKENS: [&[u8]; 16] = [
    b"null",
    b"-1",
    b"1e999",
    b"18446744073709551616",
    b"99999999999999999999999999",
    b"0.0000000001",
    b"\"\"",
    b"{}",
    b"[[[[[[[[[[[[[[[[",
    b"\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01",
    b"\x00",
    b"\\u0000",
    b"\xef\xbb\xbf",
    b"127.0.0.1:65536",
    b",",
    b"\r\n\r\n",
];

const MANIFEST: &str = r#"{"version":7,"routes":{"columns":["name","host","prefix","kind","timeoutS","aimS","priority","trafficSplit","maxAttempts","service"],"rows":[["read","shop.example","/read/","idempotent",2,0.6,2,[{"service":"orders-svc","weight":90},{"service":"stock-svc","weight":10}],2,null],["write","shop.example","/write/","non_idempotent",2,0.8,1,null,2,"orders-svc"]]},"services":{"columns":["name","healthPath","maxConnections","protocol","tls","sharded","warmS","grants"],"rows":[["orders-svc","/healthz",130,"h1",false,true,2.0,"heartbeat"],["stock-svc","/healthz",130,"h1",false,false,null,null]]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15},"baseVersion":5}"#;

const REPORT: &str = r#"{"service":"orders-svc","address":"10.128.0.9:8080","zone":"hn-a","version":"v1","slots":14,"state":"ready","coldRemainingS":0.5,"sequence":4,"holds":[[0,4095,7]],"freed":[[4096,8191,"5c0e7a21d94b36f8"]],"born":1767225600000}"#;

const SETTINGS: &str = "host = \"h1\"\ndata_centre = \"a\"\nservice = \"depot\"\n\
    upstream = \"127.0.0.1:8080\"\nstore = \"127.0.0.1:9000\"\n[listen]\n\
    traffic = \"127.0.0.1:7000\"\nforward = \"127.0.0.1:7001\"\nreadiness = \"127.0.0.1:7002\"\n\
    heartbeats = \"127.0.0.1:7003\"\ngossip = \"127.0.0.1:7004\"\nadmin = \"127.0.0.1:7005\"\n\
    [bounds]\ndrain_s = 2.0\ngrace_s = 5.0\nhold_limit_s = 3.0\nretry_ratio = 0.1\n\
    retry_window_s = 10.0\nretry_allowance = 0.0\nmemory_mb = 60\n";

fn case_count() -> usize {
    let cases = std::env::var("FUZZ_CASES").ok();
    cases.map_or(CASES, |text| text.parse().expect("FUZZ_CASES is a number"))
}

/// Changes an input a little: single bits and bytes, tokens, repeated and missing parts, cuts.
fn change(bytes: &mut Vec<u8>, rng: &mut StdRng) {
    let at = rng.random_range(0..=bytes.len());
    let end = rng.random_range(at..=bytes.len().min(at + 40));
    match rng.random_range(0..7) {
        0 if at < bytes.len() => bytes[at] ^= 1 << rng.random_range(0..8),
        1 if at < bytes.len() => bytes[at] = rng.random(),
        2 => bytes.truncate(at),
        3 => drop(bytes.drain(at..end)),
        4 => {
            let part = bytes[at..end].to_vec();
            bytes.splice(at..at, part.repeat(rng.random_range(1..4)));
        }
        5 => {
            let token = TOKENS[rng.random_range(0..TOKENS.len())];
            bytes.splice(at..at, token.iter().copied());
        }
        _ => {
            let token = TOKENS[rng.random_range(0..TOKENS.len())];
            bytes.splice(at..end, token.iter().copied());
        }
    }
}

/// Decodes changed inputs; prints the first one that ends the decoder.
fn fuzz(inputs: &[&[u8]], decode: impl Fn(&[u8])) {
    let mut rng = StdRng::seed_from_u64(SEED);
    for case in 0..case_count() {
        let mut bytes = inputs[case % inputs.len()].to_vec();
        for _ in 0..rng.random_range(1..=MAX_CHANGES) {
            change(&mut bytes, &mut rng);
        }
        let ended = catch_unwind(AssertUnwindSafe(|| decode(&bytes))).is_err();
        assert!(!ended, "case {case}: {}", bytes.escape_ascii());
    }
}

fn address() -> SocketAddr {
    "10.128.0.9:8080".parse().expect("an address")
}

fn instance() -> UpstreamInstance {
    UpstreamInstance { id: "i-1".into(), born_ms: 5 }
}

fn host_record() -> HostRecord {
    HostRecord {
        host: "host-1".into(),
        data_centre: "here".into(),
        incarnation: 1_767_225_600_000,
        revision: 3,
        forward: address(),
        gossip: address(),
        service: "orders-svc".into(),
        upstream: Some(UpstreamRecord {
            instance: instance(),
            service: "orders-svc".into(),
            slots: 9,
            state: UpstreamState::Ready,
        }),
    }
}

fn plan() -> RangePlan {
    let candidates = (0..3).map(|index| RangeCandidate {
        host: format!("host-{index}").into(),
        instance: instance(),
        weight: 9,
        warm: true,
        settled_version: 0,
        capacity: 0.0,
        demand: DemandReport::default(),
    });
    let service = ServiceCandidates {
        service: "orders-svc".into(),
        candidates: candidates.collect(),
        filling: ShareFilling::Whole,
    };
    plan_ranges(&RangePlan::default(), 1, &[service]).expect("the first plan")
}

fn snapshot() -> StateSnapshot {
    StateSnapshot {
        manifest: MANIFEST.into(),
        plan: plan().encode(),
        hosts: vec![host_record().encode()],
        ..StateSnapshot::default()
    }
}

#[test]
fn manifests() {
    fuzz(&[MANIFEST.as_bytes()], |bytes| drop(JsonCodec::default().decode_manifest(bytes)));
}

#[test]
fn reports() {
    let codec = JsonCodec::default();
    fuzz(&[REPORT.as_bytes()], |bytes| drop(codec.decode_report("i-1", bytes, address())));
}

#[test]
fn reads_of_the_store() {
    let record = encode_record("host-1", &host_record().encode()).expect("a short key");
    let body = [&7_u64.to_be_bytes()[..], &0_u64.to_be_bytes(), &record, &record].concat();
    fuzz(&[&body], |bytes| drop(decode_records(Bytes::copy_from_slice(bytes), 5, 1)));
}

#[test]
fn datagrams() {
    fuzz(&[&GossipMessage::new(host_record(), 7).encode()], |bytes| {
        drop(GossipMessage::decode(bytes));
    });
}

#[test]
fn host_records() {
    fuzz(&[&host_record().encode()], |bytes| drop(HostRecord::decode(bytes)));
}

#[test]
fn plans() {
    fuzz(&[&plan().encode()], |bytes| drop(RangePlan::decode(bytes)));
}

#[test]
fn states_of_peers() {
    fuzz(&[&snapshot().encode()], |bytes| drop(StateSnapshot::decode(bytes)));
}

#[test]
fn news_of_peers() {
    let known = KnownState { plan: 0, manifest: 0, evacuations: None };
    fuzz(&[&snapshot().news_since(known).encode()], |bytes| drop(StateNews::decode(bytes)));
}

#[test]
fn queries_of_peers() {
    fuzz(&[b"plan=3&manifest=7&evacuations=0/4"], |bytes| {
        let _ = parse_known_state(Some(&String::from_utf8_lossy(bytes)));
    });
}

#[test]
fn headers_of_answers() {
    const NAMES: [HeaderName; 4] = [
        HeaderName::from_static("retry-after"),
        HeaderName::from_static("load"),
        HeaderName::from_static("limit"),
        HeaderName::from_static("leaving"),
    ];
    let inputs: [&[u8]; 5] = [b"1.5", b"3, 2, 9, 120", b"4.6", b"1", b"14"];
    fuzz(&inputs, |bytes| {
        let Ok(value) = HeaderValue::from_bytes(bytes) else { return };
        let headers: HeaderMap = NAMES.into_iter().map(|name| (name, value.clone())).collect();
        let _ = parse_retry_after(&headers);
        let _ = read_load(&headers, &NAMES[1]);
        let _ = read_cold_time(&headers, &NAMES[1]);
        let _ = UpstreamNotice::read(&headers, &NAMES[2], &NAMES[3]);
        drop(UpstreamLimit::parse(&String::from_utf8_lossy(bytes)));
    });
}

#[test]
fn settings() {
    fuzz(&[SETTINGS.as_bytes()], |bytes| {
        drop(MeshSettings::parse(&String::from_utf8_lossy(bytes)));
    });
}

#[test]
fn manifests_of_hash_divided_services() {
    let text = include_str!("../../../examples/manifest-plate-makers.toml");
    fuzz(&[text.as_bytes()], |bytes| drop(ManifestSpec::parse(&String::from_utf8_lossy(bytes))));
}
