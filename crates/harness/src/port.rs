//! Ports for listeners that are bound later.

use std::net;
use std::ops;
use std::sync::atomic::{AtomicU32, Ordering};

/// Ports below those which the kernel gives to outgoing connections.
const PORTS: ops::Range<u32> = 12_000..32_000;

/// Returns a free port of `ip` that no other caller in this process gets.
///
/// A port that the kernel has chosen could be given to another socket before it is bound again.
///
/// # Examples
///
/// ```
/// use sequoiayoke_harness::port;
///
/// let ip = "127.0.0.1".parse().expect("an address");
/// assert_ne!(port::free(ip), port::free(ip));
/// ```
///
/// # Panics
///
/// Panics if no port is free.
pub fn free(ip: net::IpAddr) -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    // Processes that run at the same time begin at different ports.
    let offset = std::process::id().wrapping_mul(97);
    let count = PORTS.end - PORTS.start;
    let candidates = (0..count).map(|_| {
        let number = offset.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        (PORTS.start + number % count) as u16
    });
    let mut free = candidates.filter(|port| net::TcpListener::bind((ip, *port)).is_ok());
    free.next().expect("one of the ports is free")
}
