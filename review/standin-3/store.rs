//! The platform's store: a log with keyed topics, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http;

/// Records of each topic, without their length.
#[derive(Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Vec<Vec<u8>>>>,
    /// Whether it is down: it answers 503 and does nothing.
    down: AtomicBool,
    changed: Condvar,
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let at = |index: usize| u32::from(part.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index > part.len() { '=' } else { char::from(digit) });
        }
    }
    text
}

/// Key and value of a record of a keyed topic.
fn split(record: &[u8]) -> (String, &[u8]) {
    let length = usize::from(record[0]);
    (String::from_utf8_lossy(&record[1..=length]).into(), &record[1 + length..])
}

impl Store {
    /// Appends what the operator writes.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![u8::try_from(key.len()).expect("a short key")];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        self.topics.lock().expect("a lock").entry(topic.into()).or_default().push(record);
        self.changed.notify_all();
    }

    /// Takes the store down, or up again.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
        self.changed.notify_all();
    }

    /// Serves an address until the process ends.
    pub fn serve(self: &Arc<Self>, address: SocketAddr) {
        let listener = TcpListener::bind(address).expect("a free port");
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.serve_stream(stream));
            }
        });
    }

    fn serve_stream(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut stream = stream;
        while let Ok(Some(request)) = http::read(&mut reader, false) {
            let (status, body) = self.answer(&request);
            let first = format!("HTTP/1.1 {status} x");
            http::write(&mut stream, &first, &[("Content-Type", "application/json")], &body)
                .ok()?;
        }
        None
    }

    fn answer(&self, request: &http::Message) -> (u16, Vec<u8>) {
        let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
        let value = |name: &str| {
            let rows = query.split('&').filter_map(|row| row.split_once('='));
            rows.filter(|row| row.0 == name).map(|row| row.1).next().unwrap_or("")
        };
        let busy = || self.down.load(Ordering::SeqCst);
        if busy() {
            return (503, b"{}".to_vec());
        }
        let topic = value("topic").to_owned();
        let mut topics = self.topics.lock().expect("a lock");
        let records = topics.entry(topic.clone()).or_default();
        match path {
            "/log-append" => {
                let offset = records.len();
                if !value("asOf").is_empty() && value("asOf").parse() != Ok(offset) {
                    return (412, format!("{{\"end\":{offset}}}").into());
                }
                let mut rest = &request.body[..];
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    records.push(rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                let end = records.len();
                drop(topics);
                self.changed.notify_all();
                (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into())
            }
            "/log-read" => {
                let from: usize = value("from").parse().unwrap_or(0);
                let wait = Duration::from_millis(value("waitMs").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                while topics[&topic].len() <= from && !busy() {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    topics = self.changed.wait_timeout(topics, left).expect("a lock").0;
                }
                if busy() {
                    return (503, b"{}".to_vec());
                }
                let records = &topics[&topic];
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend(u32::try_from(record.len()).expect("short").to_be_bytes());
                    body.extend(record);
                }
                (200, body)
            }
            "/log-newest" => {
                let mut newest = BTreeMap::new();
                for (offset, record) in records.iter().enumerate() {
                    let (key, value) = split(record);
                    newest.insert(key, (offset, value));
                }
                let after = value("after");
                let items = newest.iter().filter(|row| row.0.as_str() > after);
                let items: Vec<String> = items
                    .map(|(key, (offset, value))| {
                        let value = base64(value);
                        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                    })
                    .collect();
                let (items, end) = (items.join(","), records.len());
                (200, format!("{{\"items\":[{items}],\"more\":false,\"end\":{end}}}").into())
            }
            _ => (404, b"{}".to_vec()),
        }
    }
}
