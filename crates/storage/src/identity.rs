//! Identity of a replica, bound to its data directory.

use error_stack::{Report, ResultExt};
use prost::Message;
use sequoiayoke_model::id;

use crate::fault;
use crate::frame;
use crate::medium;
use crate::medium::File;
use crate::record;

/// Name of the identity file.
pub(crate) const FILE: &str = "identity";

/// Name of the identity file until it is complete.
const TEMPORARY: &str = "identity.tmp";

/// Configured name and region of the replica that a data directory belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    name: String,
    region: String,
    bootstrap_id: Option<id::Replica>,
    ignores_inodes: bool,
}

impl Owner {
    /// Creates an owner without a fixed identity.
    pub fn new(name: &str, region: &str) -> Self {
        Self {
            name: name.to_owned(),
            region: region.to_owned(),
            bootstrap_id: None,
            ignores_inodes: false,
        }
    }

    /// Sets the identity that an empty directory gets instead of a random one.
    ///
    /// Only a replica that bootstraps a new group may use a fixed identity. A directory that
    /// replaces a lost one must get a new identity, since the lost replica may have voted or
    /// acknowledged entries.
    pub fn with_bootstrap_id(mut self, id: id::Replica) -> Self {
        self.bootstrap_id = Some(id);
        self
    }

    /// Accepts a directory whose inode numbers have changed since its creation.
    ///
    /// Some volumes assign new inode numbers at each mount. A copy cannot be
    /// distinguished from the original there, so this is safe only on a platform that
    /// never attaches one volume to two VMs.
    pub fn with_changing_inodes(mut self) -> Self {
        self.ignores_inodes = true;
        self
    }

    /// Returns the identity that an empty directory gets.
    pub(crate) fn new_id(&self) -> id::Replica {
        self.bootstrap_id
            .unwrap_or_else(|| id::Replica(rand::random()))
    }

    fn describe(&self) -> String {
        format!("{} of region {}", self.name, self.region)
    }
}

/// Writes the identity file of a new data directory.
pub(crate) fn create<M>(
    medium: &M,
    owner: &Owner,
    replica: id::Replica,
) -> Result<(), Report<fault::Fault>>
where
    M: medium::Medium,
{
    let io = |operation| fault::Fault::Io {
        operation,
        file: FILE.to_owned(),
    };
    let mut file = medium
        .create(TEMPORARY)
        .change_context_lazy(|| io("create"))?;
    // A rename keeps the inode number, so it can be stored in the file itself.
    let inodes = medium
        .inodes(TEMPORARY)
        .change_context_lazy(|| io("inspect"))?;
    let (folder_inode, file_inode) = inodes;
    let body = record::Identity {
        replica: replica.0,
        name: owner.name.clone(),
        region: owner.region.clone(),
        folder_inode,
        file_inode,
    };
    let mut content = Vec::new();
    frame::encode(&mut content, 0, 0, &body.encode_to_vec());
    file.append(&content).change_context_lazy(|| io("write"))?;
    file.sync().change_context_lazy(|| io("sync"))?;
    medium
        .rename(TEMPORARY, FILE)
        .change_context_lazy(|| io("rename"))?;
    medium
        .sync()
        .change_context_lazy(|| io("sync the directory of"))
}

/// Reads the identity and checks that the directory belongs to `owner`.
pub(crate) fn load<M>(medium: &M, owner: &Owner) -> Result<id::Replica, Report<fault::Fault>>
where
    M: medium::Medium,
{
    let io = |operation| fault::Fault::Io {
        operation,
        file: FILE.to_owned(),
    };
    let damaged = |reason| fault::Fault::Damaged {
        file: FILE.to_owned(),
        offset: 0,
        reason,
    };
    let content = medium.read(FILE).change_context_lazy(|| io("read"))?;
    let body = frame::decode(&content, 0, 0).map_err(damaged)?;
    let identity = record::Identity::decode(&content[body])
        .change_context_lazy(|| damaged("the record cannot be decoded"))?;
    let stored_owner = Owner::new(&identity.name, &identity.region);
    if (&stored_owner.name, &stored_owner.region) != (&owner.name, &owner.region) {
        return Err(Report::new(fault::Fault::Foreign {
            expected: owner.describe(),
            found: stored_owner.describe(),
        }));
    }
    let inodes = medium.inodes(FILE).change_context_lazy(|| io("inspect"))?;
    if !owner.ignores_inodes && inodes != (identity.folder_inode, identity.file_inode) {
        return Err(Report::new(fault::Fault::Copied {
            name: stored_owner.describe(),
        }));
    }
    Ok(id::Replica(identity.replica))
}
