//! A medium in memory that loses what was not synced, and fails on request.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiayoke_storage::medium;

/// What a crash leaves of the changes that were not synced.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Crash {
    /// Nothing: a power failure.
    Lost,
    /// Everything for now: the process was killed, and a later power failure
    /// can still take what was not synced.
    Kept,
    /// A prefix of the directory's changes, and of each file a prefix that may
    /// end in other bytes.
    Torn(u64),
}

#[derive(Debug, Default)]
struct Inode {
    content: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Debug, Default)]
struct State {
    inodes: Vec<Inode>,
    names: BTreeMap<String, usize>,
    /// Directory as last synced, then after each change since.
    history: Vec<BTreeMap<String, usize>>,
    operations: usize,
    fail_at: Option<usize>,
    fails_once: bool,
}

/// A directory in memory; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Volatile {
    state: Rc<RefCell<State>>,
}

#[derive(Debug)]
pub(crate) struct File {
    state: Rc<RefCell<State>>,
    inode: usize,
}

impl State {
    /// Counts a changing operation, and fails from the chosen one on.
    fn count(&mut self) -> io::Result<()> {
        let number = self.operations;
        self.operations += 1;
        match self.fail_at {
            Some(at) if number == at || (number > at && !self.fails_once) => {
                Err(io::Error::from(io::ErrorKind::StorageFull))
            }
            _ => Ok(()),
        }
    }

    fn rename_to(&mut self, names: BTreeMap<String, usize>) {
        if self.history.is_empty() {
            self.history.push(BTreeMap::new());
        }
        self.names = names.clone();
        self.history.push(names);
    }
}

impl Volatile {
    /// Makes operation number `at` fail, and all after it unless `once`.
    pub(crate) fn fail_at(&self, at: usize, once: bool) {
        let mut state = self.state.borrow_mut();
        state.fail_at = Some(at);
        state.fails_once = once;
    }

    /// Returns the number of changing operations so far.
    pub(crate) fn operations(&self) -> usize {
        self.state.borrow().operations
    }

    /// Lets the process end, and the changes that were not synced with it.
    pub(crate) fn crash(&self, crash: Crash) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.fail_at = None;
        match crash {
            Crash::Kept => return,
            Crash::Lost => {
                state.names = state.history.first().cloned().unwrap_or_default();
                for inode in &mut state.inodes {
                    inode.content = inode.synced.clone();
                }
            }
            Crash::Torn(seed) => {
                let mut random = ChaCha8Rng::seed_from_u64(seed);
                if !state.history.is_empty() {
                    let number = random.random_range(0..state.history.len());
                    state.names = state.history[number].clone();
                }
                for inode in &mut state.inodes {
                    tear(inode, &mut random);
                }
            }
        }
        for inode in &mut state.inodes {
            inode.synced = inode.content.clone();
        }
        state.history = vec![state.names.clone()];
    }

    /// Changes the content of a file behind the back of the storage.
    pub(crate) fn edit<F>(&self, name: &str, change: F)
    where
        F: FnOnce(&mut Vec<u8>),
    {
        let mut state = self.state.borrow_mut();
        let inode = state.names[name];
        change(&mut state.inodes[inode].content);
    }
}

/// Keeps a prefix of what was not synced, or other bytes in its place.
fn tear(inode: &mut Inode, random: &mut ChaCha8Rng) {
    let (synced, length) = (inode.synced.len(), inode.content.len());
    if synced >= length {
        return;
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

impl medium::Medium for Volatile {
    type File = File;

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.state.borrow().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.state.borrow();
        let inode = state.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(state.inodes[*inode].content.clone())
    }

    fn create(&self, name: &str) -> io::Result<File> {
        let mut state = self.state.borrow_mut();
        state.count()?;
        if state.names.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        let inode = state.inodes.len();
        state.inodes.push(Inode::default());
        let mut names = state.names.clone();
        names.insert(name.to_owned(), inode);
        state.rename_to(names);
        let state = self.state.clone();
        Ok(File { state, inode })
    }

    fn open(&self, name: &str) -> io::Result<File> {
        let inode = self.state.borrow().names.get(name).copied();
        let inode = inode.ok_or(io::ErrorKind::NotFound)?;
        let state = self.state.clone();
        Ok(File { state, inode })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state.borrow_mut();
        state.count()?;
        let mut names = state.names.clone();
        let inode = names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        names.insert(to.to_owned(), inode);
        state.rename_to(names);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state.borrow_mut();
        state.count()?;
        let mut names = state.names.clone();
        names.remove(name).ok_or(io::ErrorKind::NotFound)?;
        state.rename_to(names);
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.state.borrow_mut();
        state.count()?;
        state.history = vec![state.names.clone()];
        Ok(())
    }

    fn inodes(&self, name: &str) -> io::Result<(u64, u64)> {
        let state = self.state.borrow();
        let inode = state.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok((1, *inode as u64))
    }
}

impl medium::File for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state.borrow_mut();
        let result = state.count();
        // A write that fails may have written a part.
        let written = if result.is_ok() {
            bytes.len()
        } else {
            bytes.len() / 2
        };
        let inode = &mut state.inodes[self.inode];
        inode.content.extend_from_slice(&bytes[..written]);
        result
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.state.borrow_mut();
        state.count()?;
        let inode = &mut state.inodes[self.inode];
        inode.synced = inode.content.clone();
        Ok(())
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        let mut state = self.state.borrow_mut();
        state.count()?;
        state.inodes[self.inode].content.truncate(length as usize);
        Ok(())
    }
}
