//! A small HTTP/1.1 reader and writer for the stand-ins.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// Longest body that a stand-in takes, in bytes.
const MAX_BODY: usize = 16 * 1024 * 1024;

pub type Headers = Vec<(String, String)>;

/// A request that was read whole.
pub struct Request {
    /// Path with its query.
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// A response as far as it arrived.
pub struct Answer {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether the body arrived to its end.
    pub whole: bool,
}

pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find(|row| row.0.eq_ignore_ascii_case(name)).map(|row| &*row.1)
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.target.split_once('?')?.1.split('&');
        pairs.filter_map(|pair| pair.split_once('=')).find(|pair| pair.0 == name).map(|pair| pair.1)
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_owned()))
}

fn broken(reason: &str) -> io::Error {
    io::Error::other(reason.to_owned())
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<Headers> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or_else(|| broken("the head breaks off"))?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("no header"))?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads a body to its end; returns what arrived and whether it is whole. `pace` is called after each part.
fn read_body(
    reader: &mut BufReader<TcpStream>,
    headers: &Headers,
    to_end: bool,
    pace: &mut dyn FnMut(usize),
) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    let chunked = header(headers, "transfer-encoding")
        .is_some_and(|text| text.eq_ignore_ascii_case("chunked"));
    if chunked {
        loop {
            let Ok(Some(line)) = read_line(reader) else { return (body, false) };
            let Ok(length) = usize::from_str_radix(line.split(';').next().unwrap_or(""), 16) else {
                return (body, false);
            };
            if !read_part(reader, &mut body, length, pace) {
                return (body, false);
            }
            let Ok(Some(_)) = read_line(reader) else { return (body, false) };
            if length == 0 {
                return (body, true);
            }
        }
    }
    let length = header(headers, "content-length").and_then(|text| text.parse::<usize>().ok());
    match length {
        Some(length) => {
            let whole = read_part(reader, &mut body, length.min(MAX_BODY), pace);
            (body, whole)
        }
        None if to_end => {
            let whole = reader.read_to_end(&mut body).is_ok();
            (body, whole)
        }
        None => (body, true),
    }
}

fn read_part(
    reader: &mut BufReader<TcpStream>,
    body: &mut Vec<u8>,
    length: usize,
    pace: &mut dyn FnMut(usize),
) -> bool {
    let mut left = length;
    let mut buffer = [0; 4096];
    while left > 0 {
        let wanted = left.min(buffer.len());
        match reader.read(&mut buffer[..wanted]) {
            Ok(0) | Err(_) => return false,
            Ok(count) => {
                body.extend_from_slice(&buffer[..count]);
                left -= count;
                pace(count);
            }
        }
    }
    true
}

/// Reads the next request; `None` if the connection ended before it.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else { return Ok(None) };
    let target = line.split(' ').nth(1).unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let (body, whole) = read_body(reader, &headers, false, &mut |_| ());
    if !whole {
        return Err(broken("the body breaks off"));
    }
    Ok(Some(Request { target, headers, body }))
}

pub fn write_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

pub fn write_request(
    stream: &mut TcpStream,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    if !body.is_empty() || method != "GET" {
        text.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Reads a response; `pace` is called after each part of the body with its length.
pub fn read_answer(
    reader: &mut BufReader<TcpStream>,
    pace: &mut dyn FnMut(usize),
) -> io::Result<Answer> {
    let line = read_line(reader)?.ok_or_else(|| broken("no answer"))?;
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or_else(|| broken("no status"))?;
    let headers = read_headers(reader)?;
    let (body, whole) = read_body(reader, &headers, true, pace);
    Ok(Answer { status, headers, body, whole })
}
