//! Request ids that this node issues.

use std::time::SystemTime;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::request as model;

use super::Path;
use crate::traffic::request;
use crate::traffic::server;

impl<C, S> Path<C, S>
where
    C: clock::Clock + Send + Sync + 'static,
    S: server::Dispatch,
{
    /// Creates a request id under the epoch of the key's current grant, if the key has an owner.
    pub fn new_id(&self, view: &request::View<'_>) -> Option<model::Id> {
        let epoch = self.epoch_of(view)?;
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let issued_ms = since.map_or(0, |since| since.as_millis() as u64);
        Some(model::Id::new(epoch, issued_ms, rand::random()))
    }

    /// Replaces an undisclosed id of an earlier grant with one of the current grant.
    ///
    /// A new owner cannot know that an id of an earlier grant never ran. A disclosed id
    /// never changes, since the caller may retry the request with it.
    pub(super) fn reissue(&self, view: &mut request::View<'_>) {
        if view.is_undisclosed && view.id.map(|id| id.epoch()) != self.epoch_of(view) {
            view.id = self.new_id(view);
        }
    }

    pub(super) fn epoch_of(&self, view: &request::View<'_>) -> Option<id::Epoch> {
        let snapshot = self.published.load();
        let (slice, _) = snapshot.view.table(view.service)?.find(view.hash);
        slice.holder.map(|holder| holder.epoch)
    }
}
