//! Calls of the C library that the standard library does not offer.

use std::ffi::{c_int, c_void};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::os::fd::FromRawFd;

pub const SIGTERM: c_int = 15;
pub const SIGCONT: c_int = 18;

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;
const IPPROTO_TCP: c_int = 6;
const TCP_MAXSEG: c_int = 2;

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    #[link_name = "kill"]
    fn c_kill(process: c_int, signal: c_int) -> c_int;
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, length: u32)
    -> c_int;
    fn connect(fd: c_int, address: *const c_void, length: u32) -> c_int;
}

/// Sends a signal to a process that this program started.
pub fn kill(process: u32, signal: c_int) {
    if let Ok(process) = c_int::try_from(process) {
        // SAFETY: the call takes numbers only.
        unsafe { c_kill(process, signal) };
    }
}

/// Connects as a client over an ordinary network does: with segments of `segment` bytes and a receive buffer of
/// `buffer` bytes. The loopback interface's own segments of 64 KiB would leave megabytes in the sender's socket.
pub fn connect_small(address: SocketAddr, segment: c_int, buffer: c_int) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else { return Err(io::Error::other("not IPv4")) };
    let ip: Ipv4Addr = *address.ip();
    let row = SockAddrIn {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        address: ip.octets(),
        zero: [0; 8],
    };
    // SAFETY: the structures live longer than the calls, and their lengths are right.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, (&raw const buffer).cast(), 4);
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, (&raw const segment).cast(), 4);
        if connect(fd, (&raw const row).cast(), 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
