//! Snapshot files.

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use prost::Message;
use sequoiayoke_consensus::snapshot;
use sequoiayoke_model::id;

use crate::fault;
use crate::frame;
use crate::medium;
use crate::medium::File;
use crate::record;

/// Prefix of the name of a snapshot file.
const PREFIX: &str = "snapshot-";

/// Name of a snapshot file until it is complete.
const TEMPORARY: &str = "snapshot.tmp";

/// Returns the names of the snapshot files among `names`, oldest first.
pub(crate) fn files(names: &[String]) -> Vec<&str> {
    let names = names.iter().map(String::as_str);
    names.filter(|name| name.starts_with(PREFIX)).collect()
}

/// Writes a snapshot file. It becomes valid with the rename to its final name.
pub(crate) fn write<M>(
    medium: &M,
    replica: id::Replica,
    snapshot: &snapshot::Snapshot,
) -> Result<(), Report<fault::Fault>>
where
    M: medium::Medium,
{
    let name = format!("{PREFIX}{:016x}", snapshot.position.index.0);
    let io = |operation| fault::Fault::Io {
        operation,
        file: name.clone(),
    };
    let body = record::Snapshot {
        replica: replica.0,
        position: Some(snapshot.position.into()),
        members: Some((&snapshot.members).into()),
        data: snapshot.data.clone(),
    }
    .encode_to_vec();
    if body.len() > frame::MAX_BODY_BYTES {
        return Err(Report::new(fault::Fault::TooLarge { bytes: body.len() }));
    }
    let mut content = Vec::with_capacity(frame::HEADER_BYTES + body.len());
    frame::encode(&mut content, 0, 0, &body);
    let mut file = medium
        .create(TEMPORARY)
        .change_context_lazy(|| io("create"))?;
    file.append(&content).change_context_lazy(|| io("write"))?;
    file.sync().change_context_lazy(|| io("sync"))?;
    medium
        .rename(TEMPORARY, &name)
        .change_context_lazy(|| io("rename"))?;
    medium
        .sync()
        .change_context_lazy(|| io("sync the directory of"))
}

/// Reads a snapshot file.
pub(crate) fn load<M>(
    medium: &M,
    replica: id::Replica,
    name: &str,
) -> Result<snapshot::Snapshot, Report<fault::Fault>>
where
    M: medium::Medium,
{
    let damaged = |reason| fault::Fault::Damaged {
        file: name.to_owned(),
        offset: 0,
        reason,
    };
    let content = medium.read(name).change_context_lazy(|| fault::Fault::Io {
        operation: "read",
        file: name.to_owned(),
    })?;
    let body = frame::decode(&content, 0, 0).map_err(damaged)?;
    let body = Bytes::from(content).slice(body);
    let snapshot = record::Snapshot::decode(body)
        .change_context_lazy(|| damaged("the record cannot be decoded"))?;
    if snapshot.replica != replica.0 {
        return Err(Report::new(damaged("it belongs to another replica")));
    }
    Ok(snapshot::Snapshot {
        position: snapshot.position.unwrap_or_default().into(),
        members: snapshot.members.unwrap_or_default().into(),
        data: snapshot.data,
    })
}
