//! The platform's store: a log of topics, of which only the calls that a node makes are served.

use std::collections::HashMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, read_request, write_response};

type Topics = HashMap<String, Vec<(Vec<u8>, Vec<u8>)>>;

#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> (Self, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Self::default();
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    /// Writes the newest record of a key, as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().expect("no panic");
        topics.entry(topic.into()).or_default().push((key.into(), value.into()));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a second handle");
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            if write_response(&mut writer, status, &[], &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        match request.path.as_str() {
            "/log-append" => self.append(&topic, request),
            "/log-read" => self.read(&topic, request),
            "/log-newest" => self.newest(&topic),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, topic: &str, request: &Request) -> (u16, Vec<u8>) {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().expect("no panic");
        let records = topics.entry(topic.into()).or_default();
        let expected: Option<usize> = request.query("asOf").and_then(|text| text.parse().ok());
        if expected.is_some_and(|end| end != records.len()) {
            return (412, format!("{{\"end\":{}}}", records.len()).into_bytes());
        }
        let offset = records.len();
        let mut rest = &request.body[..];
        while rest.len() >= 5 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let record = &rest[4..4 + length];
            let key = usize::from(record[0]);
            records.push((record[1..=key].to_vec(), record[1 + key..].to_vec()));
            rest = &rest[4 + length..];
        }
        changed.notify_all();
        (200, format!("{{\"offset\":{offset},\"end\":{}}}", records.len()).into_bytes())
    }

    fn read(&self, topic: &str, request: &Request) -> (u16, Vec<u8>) {
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let from = usize::try_from(number("from").unwrap_or(0)).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().expect("no panic");
        loop {
            let records = topics.entry(topic.into()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    let length = u32::try_from(1 + key.len() + value.len()).expect("a short record");
                    body.extend_from_slice(&length.to_be_bytes());
                    body.push(u8::try_from(key.len()).expect("a short key"));
                    body.extend_from_slice(key);
                    body.extend_from_slice(value);
                }
                return (200, body);
            }
            topics = changed.wait_timeout(topics, left).expect("no panic").0;
        }
    }

    fn newest(&self, topic: &str) -> (u16, Vec<u8>) {
        let mut topics = self.topics.0.lock().expect("no panic");
        let records = topics.entry(topic.into()).or_default();
        let mut items: Vec<(&[u8], &[u8], usize)> = Vec::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            items.retain(|row| row.0 != &key[..]);
            if !value.is_empty() {
                items.push((key, value, offset));
            }
        }
        let rows: Vec<String> = items
            .iter()
            .map(|(key, value, offset)| {
                let key = String::from_utf8_lossy(key);
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        let body =
            format!("{{\"items\":[{}],\"more\":false,\"end\":{}}}", rows.join(","), records.len());
        (200, body.into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..part.len()].copy_from_slice(part);
        let number = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for index in 0..4 {
            if index <= part.len() {
                text.push(DIGITS[(number >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
