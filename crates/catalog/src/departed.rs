//! Instances of backend servers that are gone for good.
//!
//! An announcement may arrive seconds after its instance has left, at a node that has started since
//! and does not know of that. Only the replicated state remembers it then.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::server;

/// Number of instances that are kept: more than are replaced in the seconds for which an
/// announcement may be late, at 2,200 replaced VMs per day.
const MAX_INSTANCES: usize = 1_024;

/// The instances that have left last.
///
/// # Examples
///
/// ```
/// use sequoiayoke_catalog::{departed, server};
///
/// let instance = server::Instance { name: "a".to_owned(), born_ms: 5 };
/// let mut departed = departed::Departed::default();
/// assert!(!departed.contains(&instance));
/// departed.add(&instance);
/// assert!(departed.contains(&instance));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Departed(collections::VecDeque<server::Instance>);

impl Departed {
    /// Adds an instance; the earliest one is dropped if there are too many.
    pub fn add(&mut self, instance: &server::Instance) {
        if self.contains(instance) {
            return;
        }
        if self.0.len() >= MAX_INSTANCES {
            self.0.pop_front();
        }
        self.0.push_back(instance.clone());
    }

    /// Returns whether an instance has left.
    pub fn contains(&self, instance: &server::Instance) -> bool {
        self.0.contains(instance)
    }
}

impl<'de> Deserialize<'de> for Departed {
    /// Reads the list, which is empty in a snapshot of a version that did not have it: such a
    /// snapshot ends before it.
    fn deserialize<Decoder>(decoder: Decoder) -> Result<Self, Decoder::Error>
    where
        Decoder: serde::Deserializer<'de>,
    {
        let instances = collections::VecDeque::deserialize(decoder);
        Ok(Self(instances.unwrap_or_default()))
    }
}
