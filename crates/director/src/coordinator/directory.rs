//! Addresses of the control replicas.
//!
//! The log knows replicas by identity only. The directory keeps the address of
//! each identity that was ever met, on disk too, so that a group whose seeds are
//! all gone finds its members again after a restart.

use std::collections;
use std::fs;
use std::io;
use std::io::Write;
use std::net;
use std::path;

use sequoiayoke_model::id;
use sequoiayoke_wire::replica;

/// File in the data directory.
const FILE: &str = "replicas.json";

/// Addresses by identity.
#[derive(Debug)]
pub struct Directory {
    file: path::PathBuf,
    own: id::Replica,
    addresses: collections::BTreeMap<id::Replica, net::SocketAddr>,
    current: collections::BTreeMap<net::SocketAddr, id::Replica>,
}

impl Directory {
    /// Reads the directory; a missing file is an empty directory.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read. A malformed file is logged and
    /// rebuilt, since every address in it is met again.
    pub fn open(data: &path::Path, own: id::Replica, address: net::SocketAddr) -> io::Result<Self> {
        let file = data.join(FILE);
        let known: collections::BTreeMap<u64, net::SocketAddr> = match fs::read(&file) {
            Ok(bytes) => serde_json::from_slice(&bytes).unwrap_or_else(|error| {
                tracing::warn!(%error, "the directory of replicas is damaged, starting a new one");
                collections::BTreeMap::new()
            }),
            Err(error) if error.kind() == io::ErrorKind::NotFound => collections::BTreeMap::new(),
            Err(error) => return Err(error),
        };
        let mut directory = Self {
            file,
            own,
            addresses: known
                .into_iter()
                .map(|(id, address)| (id::Replica(id), address))
                .collect(),
            current: collections::BTreeMap::new(),
        };
        directory.learn(own, address);
        directory.current.insert(address, own);
        Ok(directory)
    }

    /// Learns an address; returns whether it is new.
    pub fn learn(&mut self, id: id::Replica, address: net::SocketAddr) -> bool {
        self.addresses.insert(id, address) != Some(address)
    }

    /// Takes what another replica says about itself and others; returns
    /// whether anything is new.
    pub fn hello(&mut self, hello: &replica::Hello) -> bool {
        let mut changed = false;
        if let Ok(address) = hello.name.parse() {
            let id = id::Replica(hello.id);
            changed |= self.learn(id, address);
            // One address has one process, so the latest identity is the live one.
            changed |= self.current.insert(address, id) != Some(id);
        }
        for member in &hello.members {
            if let Ok(address) = member.name.parse::<net::SocketAddr>()
                && member.id != self.own.0
            {
                changed |= self.learn(id::Replica(member.id), address);
            }
        }
        changed
    }

    /// Returns the address of a replica.
    pub fn address(&self, id: id::Replica) -> Option<net::SocketAddr> {
        self.addresses.get(&id).copied()
    }

    /// Returns the identities that were heard from, by address.
    pub const fn current(&self) -> &collections::BTreeMap<net::SocketAddr, id::Replica> {
        &self.current
    }

    /// Forgets a replica that has left the group.
    pub fn forget(&mut self, id: id::Replica) {
        if id != self.own {
            self.addresses.remove(&id);
            self.current.retain(|_, current| *current != id);
        }
    }

    /// Returns what this replica says about itself and the `members` it knows.
    pub fn to_hello<M>(&self, region: &str, members: M) -> replica::Hello
    where
        M: IntoIterator<Item = id::Replica>,
    {
        let name = |id| self.address(id).map(|address| address.to_string());
        replica::Hello {
            region: region.to_owned(),
            name: name(self.own).unwrap_or_default(),
            id: self.own.0,
            members: members
                .into_iter()
                .filter_map(|id| {
                    Some(replica::Member {
                        name: name(id)?,
                        id: id.0,
                    })
                })
                .collect(),
        }
    }

    /// Writes the directory.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn store(&self) -> io::Result<()> {
        let known: collections::BTreeMap<u64, net::SocketAddr> = self
            .addresses
            .iter()
            .map(|(id, address)| (id.0, *address))
            .collect();
        let unfinished = self.file.with_extension("new");
        let mut file = fs::File::create(&unfinished)?;
        file.write_all(&serde_json::to_vec(&known)?)?;
        file.sync_all()?;
        fs::rename(&unfinished, &self.file)?;
        let directory = self.file.parent().unwrap_or(path::Path::new("."));
        fs::File::open(directory)?.sync_all()
    }
}
