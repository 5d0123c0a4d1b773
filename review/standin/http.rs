//! HTTP/1.1 messages over blocking sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds.
pub fn now_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

pub type Headers = Vec<(String, String)>;

pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find(|row| row.0.eq_ignore_ascii_case(name)).map(|row| row.1.as_str())
}

#[derive(Debug, Clone)]
pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<&str> {
        let mut parts = self.query.split('&').filter_map(|part| part.split_once('='));
        parts.find(|part| part.0 == name).map(|part| part.1)
    }
}

fn line(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<String>> {
    let mut text = String::new();
    if reader.read_line(&mut text)? == 0 {
        return Ok(None);
    }
    Ok(Some(text.trim_end().to_owned()))
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> std::io::Result<Headers> {
    let mut headers = Vec::new();
    while let Some(text) = line(reader)? {
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    Ok(headers)
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Request>> {
    let Some(first) = line(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let target = words.nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let headers = read_headers(reader)?;
    let (body, _) = read_body(reader, &headers, false)?;
    Ok(Some(Request { path, query, headers, body }))
}

/// Reads a body; the flag says whether it arrived whole.
fn read_body(
    reader: &mut BufReader<TcpStream>,
    headers: &Headers,
    until_end: bool,
) -> std::io::Result<(Vec<u8>, bool)> {
    let mut body = Vec::new();
    if header(headers, "transfer-encoding").is_some_and(|text| text.contains("chunked")) {
        loop {
            let Ok(Some(size)) = line(reader) else { return Ok((body, false)) };
            let Ok(size) = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
            else {
                return Ok((body, false));
            };
            let mut part = vec![0; size + 2];
            if size == 0 {
                let _ = line(reader);
                return Ok((body, true));
            }
            if reader.read_exact(&mut part).is_err() {
                return Ok((body, false));
            }
            body.extend_from_slice(&part[..size]);
        }
    }
    if let Some(length) = header(headers, "content-length").and_then(|text| text.parse().ok()) {
        let mut part = [0; 4096];
        while body.len() < length {
            let most = part.len().min(length - body.len());
            match reader.read(&mut part[..most]) {
                Ok(0) | Err(_) => return Ok((body, false)),
                Ok(read) => body.extend_from_slice(&part[..read]),
            }
        }
        return Ok((body, true));
    }
    if until_end {
        let whole = reader.read_to_end(&mut body).is_ok();
        return Ok((body, whole));
    }
    Ok((body, true))
}

#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether the body arrived whole.
    pub whole: bool,
}

/// Reads the head of a response.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> std::io::Result<(u16, Headers)> {
    loop {
        let first = line(reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        let status = first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        let headers = read_headers(reader)?;
        if status >= 200 || status == 0 {
            return Ok((status, headers));
        }
    }
}

/// Reads a response.
pub fn read_response(reader: &mut BufReader<TcpStream>) -> std::io::Result<Response> {
    let (status, headers) = read_head(reader)?;
    let (body, whole) = read_body(reader, &headers, true)?;
    Ok(Response { status, headers, body, whole })
}

/// Opens a connection whose reads and writes end after a time.
pub fn connect(address: SocketAddr, limit: Duration) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    Ok(stream)
}

/// Text of a request's head, with the length of its body.
pub fn head_text(method: &str, path: &str, headers: &[(&str, &str)], length: usize) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if length > 0 || method != "GET" {
        text.push_str(&format!("Content-Length: {length}\r\n"));
    }
    text + "\r\n"
}

/// Sends one request on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> std::io::Result<Response> {
    let mut stream = connect(address, limit)?;
    let mut bytes = head_text(method, path, headers, body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    read_response(&mut BufReader::new(stream))
}

/// Writes a response whose body has a length.
pub fn write_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
