//! What the callers of this process hold, and which of them give way.

use std::cell;
use std::rc;

use sequoiayoke_dispatch::ledger;
use sequoiayoke_model::clock;
use slotmap::SecondaryMap;
use tokio::sync::Notify;

use crate::root;

/// Percentage of the memory of the process that callers may hold.
const MEMORY_PERCENT: usize = 30;
/// Percentage of the descriptors of the process that connections of callers may take. The others are
/// for nodes, control replicas, readiness and the backend server.
const DESCRIPTORS_PERCENT: usize = 70;
/// Largest number of requests of one connection that run concurrently.
const MAX_PIPELINED: usize = 16;

/// Account of all callers.
#[derive(Debug)]
pub(in crate::traffic) struct Account {
    ledger: cell::RefCell<ledger::Ledger>,
    limits: ledger::Limits,
    /// Notified when a connection must be closed.
    closers: cell::RefCell<SecondaryMap<ledger::Connection, rc::Rc<Notify>>>,
    /// Notified when a connection or bytes have been returned.
    returned: Notify,
}

impl Account {
    pub(in crate::traffic) fn new(limits: &root::Limits) -> Self {
        let limits = ledger::Limits {
            bytes: limits.memory / 100 * MEMORY_PERCENT,
            connections: limits.descriptors * DESCRIPTORS_PERCENT / 100,
        };
        Self {
            ledger: cell::RefCell::new(ledger::Ledger::new(limits)),
            limits,
            closers: cell::RefCell::default(),
            returned: Notify::new(),
        }
    }

    /// Returns the number of bytes that callers hold.
    pub(in crate::traffic) fn used(&self) -> usize {
        self.ledger.borrow().used()
    }

    /// Waits until another connection may be opened.
    pub(super) async fn wait_for_connection(&self) {
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
    pub(super) async fn wait_until_returned(&self) {
        self.returned.notified().await;
    }

    /// Returns the largest number of requests of one connection that run concurrently. While callers
    /// hold much, each connection has one, so that a few cannot take all room with answers that they
    /// do not read.
    pub(super) fn max_pipelined(&self) -> usize {
        match self.used() > self.limits.bytes / 2 {
            true => 1,
            false => MAX_PIPELINED,
        }
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
pub(super) struct Holding {
    account: rc::Rc<Account>,
    connection: ledger::Connection,
    closer: rc::Rc<Notify>,
    /// Bytes of the request that is being read.
    reading: cell::Cell<usize>,
    /// Bytes of requests that run, and of their answers.
    running: cell::Cell<usize>,
}

impl Holding {
    pub(super) fn new(account: &rc::Rc<Account>) -> Self {
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
    pub(super) fn reserve(&self, bytes: usize) -> ledger::Room {
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

    /// Records that the caller has sent or read something.
    pub(super) fn record_progress(&self) {
        let mut ledger = self.account.ledger.borrow_mut();
        ledger.record_progress(self.connection, clock::Instant::now());
    }

    /// Records whether the node waits for the caller.
    pub(super) fn set_awaits_caller(&self, awaits_caller: bool) {
        let mut ledger = self.account.ledger.borrow_mut();
        ledger.set_awaits_caller(self.connection, awaits_caller);
    }

    /// Waits until the connection must be closed to make room.
    pub(super) async fn must_close(&self) {
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
#[derive(Debug)]
pub(super) struct Share {
    holding: rc::Rc<Holding>,
    bytes: usize,
}

impl Share {
    pub(super) fn new(holding: &rc::Rc<Holding>, bytes: usize) -> Self {
        holding.change_running(0, bytes);
        Self {
            holding: rc::Rc::clone(holding),
            bytes,
        }
    }

    /// Changes the number of bytes.
    pub(super) fn resize(&mut self, bytes: usize) {
        self.holding.change_running(self.bytes, bytes);
        self.bytes = bytes;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.holding.change_running(self.bytes, 0);
    }
}
