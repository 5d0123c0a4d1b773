//! A little HTTP/1.1 over blocking sockets.

use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message: its first line, its headers with lower-case names, its body.
#[derive(Debug, Default, Clone)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let row = self.headers.iter().find(|row| row.0 == name);
        row.map_or("", |row| &row.1)
    }

    /// Word of the first line: 0 and 1 are method and target of a request, 1 is the status of an answer.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a message; `None` at the end of the connection. An answer without a length ends with the connection.
pub fn read(reader: &mut BufReader<TcpStream>, is_answer: bool) -> Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().into();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.headers.push((name.to_ascii_lowercase(), value.trim().into()));
    }
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            line.clear();
            reader.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(Some(message));
            }
            chunk.truncate(length);
            message.body.extend(chunk);
        }
    }
    match message.header("content-length").parse::<usize>() {
        Ok(length) => {
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)?;
        }
        Err(_) if is_answer => {
            reader.read_to_end(&mut message.body)?;
        }
        Err(_) => {}
    }
    Ok(Some(message))
}

/// Writes a message with a length.
pub fn write(
    stream: &mut TcpStream,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<()> {
    let mut text = format!("{first}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// Sends one request on a connection of its own and returns the answer.
pub fn call(
    address: SocketAddr,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut all = vec![("Host", "node"), ("Connection", "close")];
    all.retain(|row| !headers.iter().any(|other| other.0 == row.0));
    all.extend(headers);
    write(&mut stream, first, &all, body)?;
    let answer = read(&mut BufReader::new(stream), true)?;
    answer.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}
