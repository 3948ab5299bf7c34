//! Loopback networks of a test process.

use std::net::{Ipv4Addr, TcpListener};
use std::sync::OnceLock;

/// Returns the second octet of this process's loopback networks. Test processes run in
/// parallel, also from other checkouts, so each claims its octet with a listener that it
/// keeps open.
pub fn network_octet() -> u8 {
    const CLAIM_PORT: u16 = 7_999;
    static CLAIM: OnceLock<(u8, TcpListener)> = OnceLock::new();
    let claim_octet = || {
        let first = std::process::id() % 250;
        let mut octets = (first..first + 250).map(|n| 1 + (n % 250) as u8);
        let try_octet = |octet: u8| {
            let addr = Ipv4Addr::new(127, octet, 255, 250);
            let listener = TcpListener::bind((addr, CLAIM_PORT));
            Some((octet, listener.ok()?))
        };
        octets
            .find_map(try_octet)
            .expect("no free loopback network")
    };
    CLAIM.get_or_init(claim_octet).0
}
