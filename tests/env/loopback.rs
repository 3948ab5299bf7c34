//! Loopback networks of one test process.

use std::net::{Ipv4Addr, TcpListener};
use std::sync::OnceLock;

/// Octet of the loopback networks of this process. Tests run side by side, also
/// those of other checkouts: a listener that is held claims it.
pub fn network_octet() -> u8 {
    const CLAIM_PORT: u16 = 7_999;
    static CLAIM: OnceLock<(u8, TcpListener)> = OnceLock::new();
    let claim = || {
        let first = std::process::id() % 250;
        let mut octets = (first..first + 250).map(|n| 1 + (n % 250) as u8);
        let listen = |octet: u8| {
            let addr = Ipv4Addr::new(127, octet, 255, 250);
            let listener = TcpListener::bind((addr, CLAIM_PORT));
            Some((octet, listener.ok()?))
        };
        octets.find_map(listen).expect("a free network")
    };
    CLAIM.get_or_init(claim).0
}
