//! Addresses of the control replicas.
//!
//! The log identifies replicas by identity only. The directory keeps the address of every identity
//! that was ever discovered, in memory and on disk, so that the members of a group find each other
//! after a restart even if none of the seeds exists any more.

use std::collections;
use std::fs;
use std::io;
use std::io::Write;
use std::net;
use std::path;

use sequoiayoke_model::id;
use sequoiayoke_wire::replica;

/// Name of the file in the data directory.
const REPLICAS_FILE: &str = "replicas.json";

/// Addresses by identity.
#[derive(Debug)]
pub struct Directory {
    file: path::PathBuf,
    own: id::Replica,
    addresses: collections::BTreeMap<id::Replica, net::SocketAddr>,
    current: collections::BTreeMap<net::SocketAddr, id::Replica>,
    /// Addresses of the members that each address listed in its latest introduction.
    listed: collections::BTreeMap<net::SocketAddr, collections::BTreeSet<net::SocketAddr>>,
}

impl Directory {
    /// Reads the directory; a missing file is an empty directory.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read. A malformed file is logged and replaced by an empty
    /// directory, since every address in it is discovered again.
    pub fn open(data: &path::Path, own: id::Replica, address: net::SocketAddr) -> io::Result<Self> {
        let file = data.join(REPLICAS_FILE);
        let entries: collections::BTreeMap<u64, net::SocketAddr> = match fs::read(&file) {
            Ok(bytes) => serde_json::from_slice(&bytes).unwrap_or_else(|error| {
                tracing::warn!(%error, "malformed replica directory; starting with an empty one");
                collections::BTreeMap::new()
            }),
            Err(error) if error.kind() == io::ErrorKind::NotFound => collections::BTreeMap::new(),
            Err(error) => return Err(error),
        };
        let mut directory = Self {
            file,
            own,
            addresses: entries
                .into_iter()
                .map(|(id, address)| (id::Replica(id), address))
                .collect(),
            current: collections::BTreeMap::new(),
            listed: collections::BTreeMap::new(),
        };
        directory.set_address(own, address);
        directory.current.insert(address, own);
        Ok(directory)
    }

    /// Sets the address of a replica; returns whether it has changed.
    pub fn set_address(&mut self, id: id::Replica, address: net::SocketAddr) -> bool {
        self.addresses.insert(id, address) != Some(address)
    }

    /// Records the addresses in another replica's introduction; returns whether any has changed.
    pub fn apply_hello(&mut self, hello: &replica::Hello) -> bool {
        let mut is_changed = false;
        let names = hello.members.iter().map(|member| member.name.parse());
        let members: collections::BTreeSet<net::SocketAddr> = names.flatten().collect();
        if let Ok(address) = hello.name.parse() {
            let id = id::Replica(hello.id);
            is_changed |= self.set_address(id, address);
            // Only one process listens on an address, so the latest identity is the running one.
            is_changed |= self.current.insert(address, id) != Some(id);
            is_changed |= self.listed.get(&address) != Some(&members);
            self.listed.insert(address, members);
        }
        for member in &hello.members {
            if let Ok(address) = member.name.parse::<net::SocketAddr>()
                && member.id != self.own.0
            {
                is_changed |= self.set_address(id::Replica(member.id), address);
            }
        }
        is_changed
    }

    /// Returns the address of a replica.
    pub fn address(&self, id: id::Replica) -> Option<net::SocketAddr> {
        self.addresses.get(&id).copied()
    }

    /// Returns the address of each replica that was ever discovered.
    pub const fn addresses(&self) -> &collections::BTreeMap<id::Replica, net::SocketAddr> {
        &self.addresses
    }

    /// Returns the latest identity that introduced itself from each address.
    pub const fn current(&self) -> &collections::BTreeMap<net::SocketAddr, id::Replica> {
        &self.current
    }

    /// Returns the addresses of the members that other replicas have listed.
    ///
    /// A replica that is no member, or was down while others joined, finds the leader among them.
    pub fn listed(&self) -> impl Iterator<Item = net::SocketAddr> + '_ {
        self.listed.values().flatten().copied()
    }

    /// Removes a replica that has left the group.
    pub fn remove(&mut self, id: id::Replica) {
        if id != self.own {
            self.addresses.remove(&id);
            self.current.retain(|_, current| *current != id);
        }
    }

    /// Returns this replica's introduction, with those of `members` whose address is known.
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
            is_stopping: false,
        }
    }

    /// Writes the directory to disk atomically.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn store(&self) -> io::Result<()> {
        let entries: collections::BTreeMap<u64, net::SocketAddr> = self
            .addresses
            .iter()
            .map(|(id, address)| (id.0, *address))
            .collect();
        let temporary = self.file.with_extension("new");
        let mut file = fs::File::create(&temporary)?;
        file.write_all(&serde_json::to_vec(&entries)?)?;
        file.sync_all()?;
        fs::rename(&temporary, &self.file)?;
        let directory = self.file.parent().unwrap_or(path::Path::new("."));
        fs::File::open(directory)?.sync_all()
    }
}
