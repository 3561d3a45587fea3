//! What the connections of a listener hold in this process, and which of them give way.
//!
//! An account belongs to one thread.

use std::cell;
use std::rc;

use sequoiayoke_dispatch::ledger;
use sequoiayoke_model::clock;
use slotmap::SecondaryMap;
use tokio::sync::Notify;

/// Account of all connections.
///
/// # Examples
///
/// ```
/// use std::rc;
/// use sequoiayoke_dispatch::ledger;
/// use sequoiayoke_link::account;
///
/// let limits = ledger::Limits { bytes: 100_000, connections: 10 };
/// let account = rc::Rc::new(account::Account::new(limits));
/// let holding = account::Holding::new(&account);
/// assert_eq!(holding.reserve(60_000), ledger::Room::Granted);
/// assert!(account.is_half_used());
/// drop(holding);
/// assert_eq!(account.used(), 0);
/// ```
#[derive(Debug)]
pub struct Account {
    ledger: cell::RefCell<ledger::Ledger>,
    limits: ledger::Limits,
    /// Notified when a connection must be closed.
    closers: cell::RefCell<SecondaryMap<ledger::Connection, rc::Rc<Notify>>>,
    /// Notified when a connection or bytes have been returned.
    returned: Notify,
}

impl Account {
    /// Creates an account without connections.
    pub fn new(limits: ledger::Limits) -> Self {
        Self {
            ledger: cell::RefCell::new(ledger::Ledger::new(limits)),
            limits,
            closers: cell::RefCell::default(),
            returned: Notify::new(),
        }
    }

    /// Returns the number of bytes that all connections hold.
    pub fn used(&self) -> usize {
        self.ledger.borrow().used()
    }

    /// Returns whether the connections hold more than half of what they may.
    pub fn is_half_used(&self) -> bool {
        self.used() > self.limits.bytes / 2
    }

    /// Waits until another connection may be opened.
    pub async fn wait_for_connection(&self) {
        loop {
            let now = clock::Instant::now();
            let room = self.ledger.borrow_mut().room_for_connection(now);
            if room == ledger::Room::Granted {
                return;
            }
            self.close_for(room);
            self.returned.notified().await;
        }
    }

    /// Waits until a connection or bytes have been returned.
    pub async fn wait_until_returned(&self) {
        self.returned.notified().await;
    }

    /// Asks the connection to close that makes room.
    fn close_for(&self, room: ledger::Room) {
        if let ledger::Room::After(connection) = room
            && let Some(closer) = self.closers.borrow().get(connection)
        {
            closer.notify_one();
        }
    }
}

/// What one connection holds; dropping it closes its entry in the account.
#[derive(Debug)]
pub struct Holding {
    account: rc::Rc<Account>,
    connection: ledger::Connection,
    closer: rc::Rc<Notify>,
    /// Bytes of the request that is being read.
    reading: cell::Cell<usize>,
    /// Bytes of requests that run, and of their answers.
    running: cell::Cell<usize>,
}

impl Holding {
    /// Opens an entry in the account.
    pub fn new(account: &rc::Rc<Account>) -> Self {
        let connection = account.ledger.borrow_mut().open(clock::Instant::now());
        let closer = rc::Rc::new(Notify::new());
        let mut closers = account.closers.borrow_mut();
        closers.insert(connection, rc::Rc::clone(&closer));
        drop(closers);
        Self {
            account: rc::Rc::clone(account),
            connection,
            closer,
            reading: cell::Cell::new(0),
            running: cell::Cell::new(0),
        }
    }

    /// Takes room for a request that is being read, of which `bytes` are held after the next read.
    pub fn reserve(&self, bytes: usize) -> ledger::Room {
        let now = clock::Instant::now();
        let total = bytes + self.running.get();
        let mut ledger = self.account.ledger.borrow_mut();
        let room = ledger.resize(self.connection, now, total);
        drop(ledger);
        if room == ledger::Room::Granted {
            self.reading.set(bytes);
        }
        self.account.close_for(room);
        room
    }

    /// Returns the account.
    pub const fn account(&self) -> &rc::Rc<Account> {
        &self.account
    }

    /// Records that the other side has sent or read something.
    pub fn record_progress(&self) {
        let mut ledger = self.account.ledger.borrow_mut();
        ledger.record_progress(self.connection, clock::Instant::now());
    }

    /// Records whether this process waits for the other side.
    pub fn set_awaits_caller(&self, awaits_caller: bool) {
        let mut ledger = self.account.ledger.borrow_mut();
        ledger.set_awaits_caller(self.connection, awaits_caller);
    }

    /// Waits until the connection must be closed to make room.
    pub async fn must_close(&self) {
        self.closer.notified().await;
    }

    /// Changes the bytes of requests that run and of their answers, which exist already.
    fn change_running(&self, before: usize, after: usize) {
        self.running.set(self.running.get() - before + after);
        let total = self.reading.get() + self.running.get();
        let mut ledger = self.account.ledger.borrow_mut();
        ledger.force(self.connection, total);
        let chosen = ledger.relieve(clock::Instant::now());
        drop(ledger);
        if let Some(chosen) = chosen {
            self.account.close_for(ledger::Room::After(chosen));
        }
        if after < before {
            self.account.returned.notify_waiters();
        }
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.account.ledger.borrow_mut().close(self.connection);
        self.account.closers.borrow_mut().remove(self.connection);
        self.account.returned.notify_waiters();
    }
}

/// Bytes of one request that runs, and then of its answer; they are returned when dropped.
///
/// # Examples
///
/// ```
/// use std::rc;
/// use sequoiayoke_dispatch::ledger;
/// use sequoiayoke_link::account;
///
/// let limits = ledger::Limits { bytes: 100_000, connections: 10 };
/// let account = rc::Rc::new(account::Account::new(limits));
/// let holding = rc::Rc::new(account::Holding::new(&account));
/// let mut share = account::Share::new(&holding, 4_000);
/// share.resize(9_000);
/// assert_eq!(account.used(), 9_000);
/// drop(share);
/// assert_eq!(account.used(), 0);
/// ```
#[derive(Debug)]
pub struct Share {
    holding: rc::Rc<Holding>,
    bytes: usize,
}

impl Share {
    /// Adds bytes that exist already to what the connection holds.
    pub fn new(holding: &rc::Rc<Holding>, bytes: usize) -> Self {
        holding.change_running(0, bytes);
        Self {
            holding: rc::Rc::clone(holding),
            bytes,
        }
    }

    /// Changes the number of bytes.
    pub fn resize(&mut self, bytes: usize) {
        self.holding.change_running(self.bytes, bytes);
        self.bytes = bytes;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.holding.change_running(self.bytes, 0);
    }
}
