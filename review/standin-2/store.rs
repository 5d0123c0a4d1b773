//! Stand-in of the platform's store: keyed topics as logs, appends with `asOf`, reads that wait, and the
//! newest record of each key.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, read_request, write_response};

#[derive(Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Vec<Vec<u8>>>>,
    appended: Condvar,
}

impl Store {
    /// Starts a store on an address.
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Self::default());
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let server = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a record of a keyed topic, as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![u8::try_from(key.len()).expect("a short key")];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let mut topics = self.topics.lock().expect("no thread panics");
        topics.entry(topic.into()).or_default().push(record);
        self.appended.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let (mut reader, mut stream) = (BufReader::new(copy), stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let headers = [("content-type", "application/json".to_owned())];
            if write_response(&mut stream, status, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, Vec<u8>) {
        let topic = request.parameter("topic").unwrap_or_default().to_owned();
        match request.path() {
            "/log-append" => self.append(&topic, request),
            "/log-read" => self.read(&topic, request),
            "/log-newest" => self.newest(&topic, request),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, topic: &str, request: &Request) -> (u16, Vec<u8>) {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return (403, Vec::new());
        }
        let as_of = request.parameter("asOf").and_then(|text| text.parse::<usize>().ok());
        let mut topics = self.topics.lock().expect("no thread panics");
        let rows = topics.entry(topic.into()).or_default();
        let offset = rows.len();
        if as_of.is_some_and(|as_of| as_of != offset) {
            return (412, format!("{{\"end\":{offset}}}").into_bytes());
        }
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            rows.push(rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        let end = rows.len();
        self.appended.notify_all();
        (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
    }

    fn read(&self, topic: &str, request: &Request) -> (u16, Vec<u8>) {
        let number = |name| request.parameter(name).and_then(|text: &str| text.parse::<u64>().ok());
        let from = usize::try_from(number("from").unwrap_or(0)).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut topics = self.topics.lock().expect("no thread panics");
        loop {
            let rows = topics.get(topic).map_or(&[][..], |rows| rows);
            let now = Instant::now();
            if rows.len() > from || now >= until {
                let mut body = (rows.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for row in rows.iter().skip(from) {
                    body.extend_from_slice(&u32::try_from(row.len()).unwrap_or(0).to_be_bytes());
                    body.extend_from_slice(row);
                }
                return (200, body);
            }
            let wait = (until - now).min(Duration::from_millis(100));
            topics = self.appended.wait_timeout(topics, wait).expect("no thread panics").0;
        }
    }

    fn newest(&self, topic: &str, request: &Request) -> (u16, Vec<u8>) {
        let topics = self.topics.lock().expect("no thread panics");
        let rows = topics.get(topic).map_or(&[][..], |rows| rows);
        let after = request.parameter("after").unwrap_or_default();
        let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
        for (offset, row) in rows.iter().enumerate() {
            let length = usize::from(row[0]);
            let key = String::from_utf8_lossy(&row[1..=length]).into_owned();
            newest.insert(key, (offset, &row[1 + length..]));
        }
        let rows_after = newest.iter().filter(|row| row.0.as_str() > after && !row.1.1.is_empty());
        let items: Vec<String> = rows_after
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let body =
            format!("{{\"items\":[{}],\"more\":false,\"end\":{}}}", items.join(","), rows.len());
        (200, body.into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number = part
            .iter()
            .chain([&0, &0])
            .take(3)
            .fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte));
        for index in 0..4 {
            let letter = LETTERS[(number >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= part.len() { char::from(letter) } else { '=' });
        }
    }
    text
}
