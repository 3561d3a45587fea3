//! How a group of replicas comes into being, and who is who.
//!
//! Identities are random and bound to a data directory, so the replicas of a
//! new group have to tell each other theirs. A group forms once, when every
//! replica that the settings list has said that it belongs to no group. A replica
//! that meets a formed group which does not know its identity has lost its disk:
//! it joins as a learner under its new identity.

use std::collections;
use std::fs;
use std::io;
use std::io::Write;
use std::path;

use sequoiayoke_model::id;
use sequoiayoke_wire::replica;

/// File in the data directory that holds the members.
const FILE: &str = "members.json";

/// What is known about the group.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
struct Known {
    /// Voters with which the group was formed; empty before.
    formed: collections::BTreeMap<String, id::Replica>,
    /// Names of all identities that were ever seen.
    names: collections::BTreeMap<id::Replica, String>,
}

/// What a replica has to do about the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait for the other replicas.
    Wait,
    /// Start as one of these voters.
    Vote(Vec<id::Replica>),
    /// Start without a vote and wait to be added.
    Learn,
}

/// Formation of the group, as one replica sees it.
#[derive(Debug)]
pub struct Formation {
    file: path::PathBuf,
    name: String,
    me: id::Replica,
    listed: Vec<String>,
    known: Known,
    unformed: collections::BTreeMap<String, id::Replica>,
}

impl Formation {
    /// Reads what this replica knew before; `listed` are all replicas of the settings.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is malformed.
    pub fn open(
        directory: &path::Path,
        name: &str,
        me: id::Replica,
        listed: Vec<String>,
    ) -> io::Result<Self> {
        let file = directory.join(FILE);
        let known = match fs::read(&file) {
            Ok(bytes) => serde_json::from_slice(&bytes)?,
            Err(error) if error.kind() == io::ErrorKind::NotFound => Known::default(),
            Err(error) => return Err(error),
        };
        let mut formation = Self {
            file,
            name: name.to_owned(),
            me,
            listed,
            known,
            unformed: collections::BTreeMap::new(),
        };
        formation.known.names.insert(me, name.to_owned());
        formation.unformed.insert(name.to_owned(), me);
        Ok(formation)
    }

    /// Takes what another replica says about itself.
    ///
    /// # Errors
    ///
    /// Fails if new knowledge cannot be stored.
    pub fn hello(&mut self, hello: &replica::Hello) -> io::Result<()> {
        let before = self.known.clone();
        let id = id::Replica(hello.id);
        self.known.names.insert(id, hello.name.clone());
        for member in &hello.members {
            let id = id::Replica(member.id);
            self.known.names.insert(id, member.name.clone());
        }
        if hello.members.is_empty() {
            self.unformed.insert(hello.name.clone(), id);
        } else if self.known.formed.is_empty() {
            let members = hello.members.iter();
            self.known.formed = members
                .map(|member| (member.name.clone(), id::Replica(member.id)))
                .collect();
        }
        self.form();
        if self.known == before {
            return Ok(());
        }
        self.store()
    }

    /// Forms the group if every listed replica belongs to none.
    fn form(&mut self) {
        let all = self
            .listed
            .iter()
            .all(|name| self.unformed.contains_key(name));
        if self.known.formed.is_empty() && all {
            self.known.formed = self.unformed.clone();
        }
    }

    /// Returns what to do now.
    ///
    /// # Errors
    ///
    /// Fails if a group of one cannot be stored.
    pub fn step(&mut self) -> io::Result<Step> {
        if self.known.formed.is_empty() && self.listed.len() == 1 {
            self.form();
            self.store()?;
        }
        if self.known.formed.is_empty() {
            return Ok(Step::Wait);
        }
        let formed: Vec<_> = self.known.formed.values().copied().collect();
        Ok(match formed.contains(&self.me) {
            true => Step::Vote(formed),
            false => Step::Learn,
        })
    }

    /// Returns what this replica says about itself.
    pub fn to_hello(&self, region: &str) -> replica::Hello {
        let members = self.known.formed.iter();
        replica::Hello {
            region: region.to_owned(),
            name: self.name.clone(),
            id: self.me.0,
            members: members
                .map(|(name, id)| replica::Member {
                    name: name.clone(),
                    id: id.0,
                })
                .collect(),
        }
    }

    /// Returns the name of a replica, if it is known.
    pub fn name_of(&self, id: id::Replica) -> Option<&str> {
        self.known.names.get(&id).map(String::as_str)
    }

    fn store(&self) -> io::Result<()> {
        let unfinished = self.file.with_extension("new");
        let mut file = fs::File::create(&unfinished)?;
        file.write_all(&serde_json::to_vec(&self.known)?)?;
        file.sync_all()?;
        fs::rename(&unfinished, &self.file)?;
        let directory = self.file.parent().unwrap_or(path::Path::new("."));
        fs::File::open(directory)?.sync_all()
    }
}
