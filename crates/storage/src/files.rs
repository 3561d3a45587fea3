//! Operations on the data directory whose errors contain the name of the file.

use error_stack::{Report, ResultExt};

use crate::fault;
use crate::medium;

/// Suffix of the name of a file that is not complete yet.
const TEMPORARY_SUFFIX: &str = ".tmp";

/// Removes incomplete files, and returns the names of the others.
pub(crate) fn clean<M>(medium: &M) -> Result<Vec<String>, Report<fault::Fault>>
where
    M: medium::Medium,
{
    let mut names = list(medium)?;
    for name in names.iter().filter(|name| name.ends_with(TEMPORARY_SUFFIX)) {
        remove(medium, name)?;
    }
    names.retain(|name| !name.ends_with(TEMPORARY_SUFFIX));
    Ok(names)
}

/// Returns the names of all files.
pub(crate) fn list<M>(medium: &M) -> Result<Vec<String>, Report<fault::Fault>>
where
    M: medium::Medium,
{
    medium.list().change_context_lazy(|| fault::Fault::Io {
        operation: "list",
        file: "the data directory".to_owned(),
    })
}

pub(crate) fn remove<M>(medium: &M, name: &str) -> Result<(), Report<fault::Fault>>
where
    M: medium::Medium,
{
    medium
        .remove(name)
        .change_context_lazy(|| fault::Fault::Io {
            operation: "remove",
            file: name.to_owned(),
        })
}

/// Makes creations, renames and removals durable.
pub(crate) fn sync<M>(medium: &M) -> Result<(), Report<fault::Fault>>
where
    M: medium::Medium,
{
    medium.sync().change_context_lazy(|| fault::Fault::Io {
        operation: "sync",
        file: "the data directory".to_owned(),
    })
}
