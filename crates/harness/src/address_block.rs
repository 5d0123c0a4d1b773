//! Loopback addresses of a fleet.

use std::net::{Ipv4Addr, SocketAddr};

/// A random /24 block in 127.0.0.0/8 with one address for each host.
#[derive(Debug, Clone, Copy)]
pub struct AddressBlock {
    second_octet: u8,
    third_octet: u8,
}

impl AddressBlock {
    /// Picks a block at random, with a second octet from 64 to 223 and any third octet.
    pub fn random() -> Self {
        let bytes = uuid::Uuid::new_v4().into_bytes();
        Self { second_octet: 64 + bytes[0] % 160, third_octet: bytes[1] }
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
