//! Bootstrap of a group of replicas, and the mapping of identities to names.
//!
//! Identities are random and bound to a data directory, so the replicas of a new group have
//! to announce theirs to each other. A group forms once, when every configured replica has
//! announced that it belongs to no group. A replica that discovers a formed group without
//! its identity has lost its disk: it joins as a learner under its new identity.

use std::collections;
use std::fs;
use std::io;
use std::io::Write;
use std::path;

use sequoiayoke_model::id;
use sequoiayoke_wire::replica;

/// File in the data directory that holds the members.
const MEMBERS_FILE: &str = "members.json";

/// Content of [`MEMBERS_FILE`].
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
struct Record {
    /// Voters with which the group was formed; empty until it forms.
    formed: collections::BTreeMap<String, id::Replica>,
    /// Names of all identities that were ever announced.
    names: collections::BTreeMap<id::Replica, String>,
}

/// Next step of a replica in the bootstrap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait for the other replicas.
    Wait,
    /// Start as a member of this set of voters.
    Vote(Vec<id::Replica>),
    /// Start as a learner and wait to be added.
    Learn,
}

/// State of the bootstrap on one replica.
#[derive(Debug)]
pub struct Bootstrap {
    file: path::PathBuf,
    name: String,
    own_id: id::Replica,
    configured: Vec<String>,
    record: Record,
    // Replicas that announced that they belong to no group.
    ungrouped: collections::BTreeMap<String, id::Replica>,
}

impl Bootstrap {
    /// Reads the stored members; `configured` names all replicas of the settings.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is malformed.
    pub fn open(
        directory: &path::Path,
        name: &str,
        own_id: id::Replica,
        configured: Vec<String>,
    ) -> io::Result<Self> {
        let file = directory.join(MEMBERS_FILE);
        let record = match fs::read(&file) {
            Ok(bytes) => serde_json::from_slice(&bytes)?,
            Err(error) if error.kind() == io::ErrorKind::NotFound => Record::default(),
            Err(error) => return Err(error),
        };
        let mut bootstrap = Self {
            file,
            name: name.to_owned(),
            own_id,
            configured,
            record,
            ungrouped: collections::BTreeMap::new(),
        };
        bootstrap.record.names.insert(own_id, name.to_owned());
        bootstrap.ungrouped.insert(name.to_owned(), own_id);
        Ok(bootstrap)
    }

    /// Processes the announcement of another replica.
    ///
    /// # Errors
    ///
    /// Fails if changed members cannot be stored.
    pub fn receive_hello(&mut self, hello: &replica::Hello) -> io::Result<()> {
        let before = self.record.clone();
        let id = id::Replica(hello.id);
        self.record.names.insert(id, hello.name.clone());
        for member in &hello.members {
            let id = id::Replica(member.id);
            self.record.names.insert(id, member.name.clone());
        }
        if hello.members.is_empty() {
            self.ungrouped.insert(hello.name.clone(), id);
        } else if self.record.formed.is_empty() {
            let members = hello.members.iter();
            self.record.formed = members
                .map(|member| (member.name.clone(), id::Replica(member.id)))
                .collect();
        }
        self.form_if_complete();
        if self.record == before {
            return Ok(());
        }
        self.store()
    }

    /// Forms the group if every configured replica announced that it belongs to none.
    fn form_if_complete(&mut self) {
        let is_complete = self
            .configured
            .iter()
            .all(|name| self.ungrouped.contains_key(name));
        if self.record.formed.is_empty() && is_complete {
            self.record.formed = self.ungrouped.clone();
        }
    }

    /// Returns the next step; a group with a single configured replica forms here.
    ///
    /// # Errors
    ///
    /// Fails if the members of such a group cannot be stored.
    pub fn next_step(&mut self) -> io::Result<Step> {
        if self.record.formed.is_empty() && self.configured.len() == 1 {
            self.form_if_complete();
            self.store()?;
        }
        if self.record.formed.is_empty() {
            return Ok(Step::Wait);
        }
        let formed: Vec<_> = self.record.formed.values().copied().collect();
        Ok(match formed.contains(&self.own_id) {
            true => Step::Vote(formed),
            false => Step::Learn,
        })
    }

    /// Returns the announcement of this replica.
    pub fn to_hello(&self, region: &str) -> replica::Hello {
        let members = self.record.formed.iter();
        replica::Hello {
            region: region.to_owned(),
            name: self.name.clone(),
            id: self.own_id.0,
            members: members
                .map(|(name, id)| replica::Member {
                    name: name.clone(),
                    id: id.0,
                })
                .collect(),
            is_stopping: false,
        }
    }

    /// Returns the name of a replica, if it is known.
    pub fn name_of(&self, id: id::Replica) -> Option<&str> {
        self.record.names.get(&id).map(String::as_str)
    }

    fn store(&self) -> io::Result<()> {
        let temporary = self.file.with_extension("new");
        let mut file = fs::File::create(&temporary)?;
        file.write_all(&serde_json::to_vec(&self.record)?)?;
        file.sync_all()?;
        fs::rename(&temporary, &self.file)?;
        let directory = self.file.parent().unwrap_or(path::Path::new("."));
        fs::File::open(directory)?.sync_all()
    }
}
