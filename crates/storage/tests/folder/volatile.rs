//! A medium in memory that loses unsynced changes in a crash, and fails on request.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiayoke_storage::medium;

/// What a crash leaves of the unsynced changes.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Crash {
    /// Nothing: a power failure.
    Lost,
    /// Everything: the process was killed. A later power failure can still lose
    /// the unsynced changes.
    Kept,
    /// A prefix of the changes to the directory, and of each file either a prefix whose unsynced
    /// bytes may be corrupt, or any of the unsynced writes. The number is the seed of the random
    /// choices.
    Torn(u64),
}

#[derive(Debug, Default)]
struct Inode {
    content: Vec<u8>,
    synced: Vec<u8>,
    /// Offsets of the writes that are not synced.
    writes: Vec<usize>,
}

type Names = BTreeMap<String, usize>;

#[derive(Debug, Default)]
struct State {
    inodes: Vec<Inode>,
    names: Names,
    /// The directory as last synced, and after each change since then.
    history: Vec<Names>,
    operations: usize,
    /// Number of the operation that fails, and whether all later ones fail too.
    fail: Option<(usize, bool)>,
}

/// A directory in memory; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Volatile {
    state: Rc<RefCell<State>>,
}

/// A file: the directory that holds it and its inode number.
#[derive(Debug)]
pub(crate) struct File(Volatile, usize);

impl State {
    /// Counts an operation that changes something, and returns an error if it is to fail.
    fn count_operation(&mut self) -> io::Result<()> {
        let number = self.operations;
        self.operations += 1;
        match self.fail {
            Some((operation, all_later))
                if number == operation || (all_later && number > operation) =>
            {
                Err(io::ErrorKind::StorageFull.into())
            }
            _ => Ok(()),
        }
    }

    fn find(&self, name: &str) -> io::Result<usize> {
        let inode = self.names.get(name).copied();
        inode.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn change_names<F>(&mut self, change: F)
    where
        F: FnOnce(&mut Names) -> Option<usize>,
    {
        if self.history.is_empty() {
            self.history.push(self.names.clone());
        }
        change(&mut self.names);
        self.history.push(self.names.clone());
    }
}

impl Volatile {
    /// Makes operation number `operation` fail, and with `all_later` each one after it.
    pub(crate) fn fail_at(&self, operation: usize, all_later: bool) {
        self.state.borrow_mut().fail = Some((operation, all_later));
    }

    /// Returns the number of operations so far that change something.
    pub(crate) fn operations(&self) -> usize {
        self.state.borrow().operations
    }

    /// Simulates a crash, which loses unsynced changes as `crash` specifies.
    pub(crate) fn crash(&self, crash: Crash) {
        let state = &mut *self.state.borrow_mut();
        state.fail = None;
        let mut random = match crash {
            Crash::Kept => return,
            Crash::Lost => None,
            Crash::Torn(seed) => Some(ChaCha8Rng::seed_from_u64(seed)),
        };
        let kept_changes = random.as_mut().map(|random| random.random_range(0..100));
        if !state.history.is_empty() {
            let number = kept_changes.unwrap_or(0) % state.history.len();
            state.names = state.history[number].clone();
        }
        state.history.clear();
        for inode in &mut state.inodes {
            match &mut random {
                Some(random) => tear(inode, random),
                None => inode.content.clone_from(&inode.synced),
            }
            inode.synced.clone_from(&inode.content);
            inode.writes.clear();
        }
    }

    /// Changes the content of a file without the storage code, to simulate damage.
    pub(crate) fn edit<F>(&self, name: &str, change: F)
    where
        F: FnOnce(&mut Vec<u8>),
    {
        let state = &mut *self.state.borrow_mut();
        let inode = state.find(name).expect("the file exists");
        change(&mut state.inodes[inode].content);
    }
}

/// Keeps a prefix of the unsynced bytes, some of which may be replaced by random ones.
fn tear(inode: &mut Inode, random: &mut ChaCha8Rng) {
    let (synced, length) = (inode.synced.len(), inode.content.len());
    if synced >= length {
        return;
    }
    if random.random() {
        return drop_writes(inode, random);
    }
    inode.content.truncate(random.random_range(synced..=length));
    if random.random() {
        for byte in &mut inode.content[synced..] {
            if random.random_range(0..4) == 0 {
                *byte = random.random();
            }
        }
    }
}

/// Keeps or drops each unsynced write. Where an earlier one is missing, the file has zeros.
fn drop_writes(inode: &mut Inode, random: &mut ChaCha8Rng) {
    let mut length = inode.synced.len();
    let ends = inode.writes.iter().skip(1).copied();
    let ends = ends.chain([inode.content.len()]).collect::<Vec<_>>();
    for (start, end) in inode.writes.iter().zip(ends) {
        match random.random() {
            true => length = end,
            false => inode.content[*start..end].fill(0),
        }
    }
    inode.content.truncate(length);
}

impl medium::Medium for Volatile {
    type File = File;

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.state.borrow().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.state.borrow();
        Ok(state.inodes[state.find(name)?].content.clone())
    }

    fn create(&self, name: &str) -> io::Result<File> {
        let state = &mut *self.state.borrow_mut();
        state.count_operation()?;
        if state.find(name).is_ok() {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        let inode = state.inodes.len();
        state.inodes.push(Inode::default());
        state.change_names(|names| names.insert(name.to_owned(), inode));
        Ok(File(self.clone(), inode))
    }

    fn open(&self, name: &str) -> io::Result<File> {
        let inode = self.state.borrow().find(name)?;
        Ok(File(self.clone(), inode))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let state = &mut *self.state.borrow_mut();
        state.count_operation()?;
        let inode = state.find(from)?;
        state.change_names(|names| {
            names.remove(from);
            names.insert(to.to_owned(), inode)
        });
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let state = &mut *self.state.borrow_mut();
        state.count_operation()?;
        state.find(name)?;
        state.change_names(|names| names.remove(name));
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let state = &mut *self.state.borrow_mut();
        state.count_operation()?;
        state.history.clear();
        Ok(())
    }

    fn inodes(&self, name: &str) -> io::Result<(u64, u64)> {
        Ok((1, self.state.borrow().find(name)? as u64))
    }
}

impl medium::File for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let state = &mut *self.0.state.borrow_mut();
        let result = state.count_operation();
        // A failed write may have written some of the bytes.
        let written = bytes.len() / if result.is_ok() { 1 } else { 2 };
        let inode = &mut state.inodes[self.1];
        inode.writes.push(inode.content.len());
        inode.content.extend_from_slice(&bytes[..written]);
        result
    }

    fn sync(&mut self) -> io::Result<()> {
        let state = &mut *self.0.state.borrow_mut();
        state.count_operation()?;
        let inode = &mut state.inodes[self.1];
        inode.synced.clone_from(&inode.content);
        inode.writes.clear();
        Ok(())
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        let state = &mut *self.0.state.borrow_mut();
        state.count_operation()?;
        let inode = &mut state.inodes[self.1];
        inode.content.truncate(length as usize);
        inode.writes.retain(|start| *start < length as usize);
        Ok(())
    }
}
