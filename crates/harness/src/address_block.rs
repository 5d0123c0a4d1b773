//! Loopback addresses of a fleet.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;

/// Port of the socket that reserves a block, on the address before that of the first host.
const RESERVATION_PORT: u16 = 6_999;

/// A /24 block in 127.0.0.0/8 with one address for each host. No other fleet on this machine has
/// the same block until all clones are dropped.
#[derive(Debug, Clone)]
pub struct AddressBlock {
    second_octet: u8,
    third_octet: u8,
    _reservation: Arc<UdpSocket>,
}

impl AddressBlock {
    /// Reserves a free block drawn at random, with a second octet from 64 to 223 and any third octet.
    ///
    /// # Panics
    ///
    /// If a socket cannot be bound for another reason than that its address is in use.
    pub fn reserve() -> Self {
        loop {
            let bytes = uuid::Uuid::new_v4().into_bytes();
            let (second_octet, third_octet) = (64 + bytes[0] % 160, bytes[1]);
            let address = Ipv4Addr::new(127, second_octet, third_octet, 0);
            match UdpSocket::bind((address, RESERVATION_PORT)) {
                Ok(socket) => {
                    return Self { second_octet, third_octet, _reservation: Arc::new(socket) };
                }
                Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => {}
                Err(error) => panic!("a block of addresses cannot be reserved: {error}"),
            }
        }
    }

    /// Returns the socket address of a port on a host; host numbers start at 0.
    ///
    /// # Panics
    ///
    /// If `host` is 255 or more.
    pub fn address_of(&self, host: usize, port: u16) -> SocketAddr {
        let fourth_octet = u8::try_from(host + 1).expect("a fleet has at most 255 hosts");
        SocketAddr::from((
            Ipv4Addr::new(127, self.second_octet, self.third_octet, fourth_octet),
            port,
        ))
    }
}
