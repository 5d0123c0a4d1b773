//! Addresses of a fleet.

use std::net::{Ipv4Addr, SocketAddr};

/// A random block of loopback addresses, one for each host.
#[derive(Debug, Clone, Copy)]
pub struct AddressBlock {
    high: u8,
    low: u8,
}

impl AddressBlock {
    /// Draws a block.
    pub fn random() -> Self {
        let bytes = uuid::Uuid::new_v4().into_bytes();
        Self { high: 64 + bytes[0] % 160, low: bytes[1] }
    }

    /// Address of a port on a host; hosts count from 0.
    ///
    /// # Panics
    ///
    /// From host 254 on.
    pub fn address_of(&self, host: usize, port: u16) -> SocketAddr {
        let last = u8::try_from(host + 1).expect("a fleet has under 255 hosts");
        SocketAddr::from((Ipv4Addr::new(127, self.high, self.low, last), port))
    }
}
