//! Settings shared by several roles.

use std::fmt;

use crate::{check, field};

/// Minimum length of a secret, in characters.
pub const MIN_SECRET_CHARS: usize = 16;

/// A secret, which is formatted and serialized as `[hidden]`.
#[derive(Clone, PartialEq, Eq, serde::Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Creates a secret from `text`.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_settings::common;
    ///
    /// assert_eq!(format!("{:?}", common::Secret::new("abc")), "[hidden]");
    /// ```
    pub fn new<T>(text: T) -> Self
    where
        T: Into<String>,
    {
        Self(text.into())
    }

    /// Returns the secret in plain text.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    pub(crate) fn check(&self, field: &str, problems: &mut check::Problems) {
        problems.require(
            (MIN_SECRET_CHARS..=256).contains(&self.0.len()),
            field,
            format!("must have {MIN_SECRET_CHARS} to 256 characters"),
        );
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("[hidden]")
    }
}

impl serde::Serialize for Secret {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        serializer.serialize_str("[hidden]")
    }
}

/// Limits of a process, of which a part is for the connections of each listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Memory, in MiB.
    pub memory_mib: u32,
    /// Number of descriptors.
    pub descriptors: u32,
}

impl Limits {
    /// Smallest memory with which a process works, in MiB.
    const MIN_MEMORY_MIB: u32 = 32;
    /// Smallest number of descriptors with which a process works.
    const MIN_DESCRIPTORS: u32 = 256;

    /// Returns the limits of a node that has no others.
    pub const fn of_node() -> Self {
        Self {
            memory_mib: 160,
            descriptors: 4_096,
        }
    }

    /// Returns the limits of a control replica that has no others.
    pub const fn of_control_replica() -> Self {
        Self {
            memory_mib: 256,
            descriptors: 4_096,
        }
    }
}

impl check::Check for Limits {
    fn check(&self, problems: &mut check::Problems) {
        problems.require(
            self.memory_mib >= Self::MIN_MEMORY_MIB,
            "memory_mib",
            "must be at least 32",
        );
        problems.require(
            self.descriptors >= Self::MIN_DESCRIPTORS,
            "descriptors",
            "must be at least 256",
        );
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Human-readable lines.
    #[default]
    Human,
    /// One JSON object per line.
    Json,
}

/// Log output.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Level filter, for example `info` or `info,sequoiayoke_node=debug`.
    pub level: String,
    /// Format of the lines.
    pub format: Format,
}

impl Log {
    /// Descriptions of the settings of this section.
    pub const FIELDS: &[field::Field] = &[
        field::Field::new(
            "level",
            "filter",
            "info",
            "1 to 1024 characters",
            "Level filter of the log, for example `info,sequoiayoke_node=debug`.",
        ),
        field::Field::new(
            "format",
            "word",
            "human",
            "`human` or `json`",
            "Format of the log lines.",
        ),
    ];
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
            format: Format::Human,
        }
    }
}

impl check::Check for Log {
    fn check(&self, problems: &mut check::Problems) {
        problems.require(
            (1..=1024).contains(&self.level.len()),
            "level",
            "must have 1 to 1024 characters",
        );
    }
}
