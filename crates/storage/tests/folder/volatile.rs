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

type Names = BTreeMap<String, usize>;

#[derive(Debug, Default)]
struct State {
    inodes: Vec<Inode>,
    names: Names,
    /// The directory as last synced, and as it was after each change since.
    history: Vec<Names>,
    operations: usize,
    /// Operation that fails, and whether all after it fail too.
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
    /// Counts a changing operation, which fails if that was asked for.
    fn count(&mut self) -> io::Result<()> {
        let number = self.operations;
        self.operations += 1;
        match self.fail {
            Some((at, all)) if number == at || (all && number > at) => {
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
    /// Makes operation number `at` fail, and with `all` each one after it.
    pub(crate) fn fail_at(&self, at: usize, all: bool) {
        self.state.borrow_mut().fail = Some((at, all));
    }

    /// Returns the number of changing operations so far.
    pub(crate) fn operations(&self) -> usize {
        self.state.borrow().operations
    }

    /// Lets the process end, and the changes that were not synced with it.
    pub(crate) fn crash(&self, crash: Crash) {
        let state = &mut *self.state.borrow_mut();
        state.fail = None;
        let mut random = match crash {
            Crash::Kept => return,
            Crash::Lost => None,
            Crash::Torn(seed) => Some(ChaCha8Rng::seed_from_u64(seed)),
        };
        let kept = random.as_mut().map(|random| random.random_range(0..100));
        if !state.history.is_empty() {
            let number = kept.unwrap_or(0) % state.history.len();
            state.names = state.history[number].clone();
        }
        state.history.clear();
        for inode in &mut state.inodes {
            match &mut random {
                Some(random) => tear(inode, random),
                None => inode.content.clone_from(&inode.synced),
            }
            inode.synced.clone_from(&inode.content);
        }
    }

    /// Changes the content of a file behind the back of the storage.
    pub(crate) fn edit<F>(&self, name: &str, change: F)
    where
        F: FnOnce(&mut Vec<u8>),
    {
        let state = &mut *self.state.borrow_mut();
        let inode = state.find(name).expect("the file exists");
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
        Ok(state.inodes[state.find(name)?].content.clone())
    }

    fn create(&self, name: &str) -> io::Result<File> {
        let state = &mut *self.state.borrow_mut();
        state.count()?;
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
        state.count()?;
        let inode = state.find(from)?;
        state.change_names(|names| {
            names.remove(from);
            names.insert(to.to_owned(), inode)
        });
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let state = &mut *self.state.borrow_mut();
        state.count()?;
        state.find(name)?;
        state.change_names(|names| names.remove(name));
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let state = &mut *self.state.borrow_mut();
        state.count()?;
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
        let result = state.count();
        // A write that fails may have written a part.
        let written = bytes.len() / if result.is_ok() { 1 } else { 2 };
        let content = &mut state.inodes[self.1].content;
        content.extend_from_slice(&bytes[..written]);
        result
    }

    fn sync(&mut self) -> io::Result<()> {
        let state = &mut *self.0.state.borrow_mut();
        state.count()?;
        let Inode { content, synced } = &mut state.inodes[self.1];
        synced.clone_from(content);
        Ok(())
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        let state = &mut *self.0.state.borrow_mut();
        state.count()?;
        state.inodes[self.1].content.truncate(length as usize);
        Ok(())
    }
}
