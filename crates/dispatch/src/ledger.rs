//! Account of what a process holds for its callers: connections, and bytes of requests that are
//! being read and of answers that are not yet written.
//!
//! Callers may be many, and may stop in the middle of a request or not read their answers. What
//! they hold must fit into the memory and the descriptors of the process. When it does not, the
//! connection that has held the most for the longest without progress gives way. A connection
//! whose requests wait for the process itself, or for a backend server, never does.

use std::time::Duration;

use sequoiayoke_model::clock;

slotmap::new_key_type! {
    /// A connection of a caller.
    pub struct Connection;
}

/// Part of the memory that only connections with few bytes may use, so that ordinary requests find
/// room beside large ones.
const RESERVED_PART: usize = 8;
/// Largest number of bytes of a connection with few bytes.
const FEW_BYTES: usize = 64 * 1024;
/// Bytes that a connection counts for, besides those it holds, when connections are compared.
const CONNECTION_BYTES: usize = 4 * 1024;

/// Limits of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes that all connections hold together.
    pub bytes: usize,
    /// Number of connections.
    pub connections: usize,
}

/// Whether there is room for what a connection would hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// There is room, and it is taken.
    Granted,
    /// There is none until this connection has been closed.
    After(Connection),
    /// There is none until requests have ended.
    Later,
    /// The connection itself gives way.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    bytes: usize,
    /// Time of its last progress.
    since: clock::Instant,
    /// Whether the process waits for the caller, not the caller for the process.
    awaits_caller: bool,
    /// Whether it gives way, and is about to be closed.
    is_closing: bool,
}

impl Entry {
    /// Returns how much it holds, and for how long.
    fn weight(&self, now: clock::Instant) -> u128 {
        let idle = now.saturating_since(self.since) + Duration::from_millis(1);
        (self.bytes + CONNECTION_BYTES) as u128 * idle.as_micros()
    }
}

/// The account.
///
/// # Examples
///
/// ```
/// use sequoiayoke_dispatch::ledger;
/// use sequoiayoke_model::clock;
///
/// let now = clock::Instant::from_micros(0);
/// let limits = ledger::Limits { bytes: 100_000, connections: 10 };
/// let mut ledger = ledger::Ledger::new(limits);
/// let stalled = ledger.open(now);
/// assert_eq!(ledger.resize(stalled, now, 80_000), ledger::Room::Granted);
/// let other = ledger.open(now);
/// assert_eq!(ledger.resize(other, now, 60_000), ledger::Room::After(stalled));
/// ledger.close(stalled);
/// assert_eq!(ledger.resize(other, now, 60_000), ledger::Room::Granted);
/// ```
#[derive(Clone, Debug)]
pub struct Ledger {
    limits: Limits,
    used: usize,
    entries: slotmap::SlotMap<Connection, Entry>,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            used: 0,
            entries: slotmap::SlotMap::with_key(),
        }
    }

    /// Returns the number of bytes that all connections hold.
    pub const fn used(&self) -> usize {
        self.used
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether another connection may be opened.
    pub fn room_for_connection(&mut self, now: clock::Instant) -> Room {
        if self.entries.len() < self.limits.connections {
            return Room::Granted;
        }
        self.give_way(now).map_or(Room::Later, Room::After)
    }

    /// Adds a connection.
    pub fn open(&mut self, now: clock::Instant) -> Connection {
        self.entries.insert(Entry {
            bytes: 0,
            since: now,
            awaits_caller: true,
            is_closing: false,
        })
    }

    /// Removes a connection with all that it holds.
    pub fn close(&mut self, connection: Connection) {
        if let Some(entry) = self.entries.remove(connection) {
            self.used -= entry.bytes;
        }
    }

    /// Records whether the process waits for the caller of a connection.
    pub fn set_awaits_caller(&mut self, connection: Connection, awaits_caller: bool) {
        if let Some(entry) = self.entries.get_mut(connection) {
            entry.awaits_caller = awaits_caller;
        }
    }

    /// Records progress of a connection: its caller has sent or read something.
    pub fn record_progress(&mut self, connection: Connection, now: clock::Instant) {
        if let Some(entry) = self.entries.get_mut(connection) {
            entry.since = now;
        }
    }

    /// Changes the number of bytes that a connection holds, if there is room.
    pub fn resize(&mut self, connection: Connection, now: clock::Instant, bytes: usize) -> Room {
        let Some(entry) = self.entries.get(connection) else {
            return Room::Refused;
        };
        let before = entry.bytes;
        let others = self.used - before;
        let reserved = match bytes <= FEW_BYTES {
            true => 0,
            false => self.limits.bytes / RESERVED_PART,
        };
        if bytes <= before || others + bytes + reserved <= self.limits.bytes {
            self.force(connection, bytes);
            return Room::Granted;
        }
        match self.give_way(now) {
            Some(chosen) if chosen == connection => Room::Refused,
            Some(chosen) => Room::After(chosen),
            None => Room::Later,
        }
    }

    /// Changes the number of bytes that a connection holds, whether there is room or not: the bytes
    /// exist already.
    pub fn force(&mut self, connection: Connection, bytes: usize) {
        if let Some(entry) = self.entries.get_mut(connection) {
            self.used = self.used - entry.bytes + bytes;
            entry.bytes = bytes;
        }
    }

    /// Returns a connection that gives way, if the limit on bytes is passed.
    pub fn relieve(&mut self, now: clock::Instant) -> Option<Connection> {
        let closing = self.entries.values().filter(|entry| entry.is_closing);
        let returning: usize = closing.map(|entry| entry.bytes).sum();
        match self.used - returning > self.limits.bytes {
            true => self.give_way(now),
            false => None,
        }
    }

    /// Chooses the connection that gives way, unless one is about to be closed already.
    fn give_way(&mut self, now: clock::Instant) -> Option<Connection> {
        let candidates = self.entries.iter().filter(|(_, entry)| entry.awaits_caller);
        let (chosen, _) = candidates
            .filter(|(_, entry)| !entry.is_closing)
            .max_by_key(|(_, entry)| entry.weight(now))?;
        self.entries[chosen].is_closing = true;
        Some(chosen)
    }
}
