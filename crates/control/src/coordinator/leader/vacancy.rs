//! Time for which slices have had no holder.

use std::collections;
use std::time::Duration;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::table;
use sequoiayoke_model::view;

use super::SliceId;

/// Vacant slices and the vacant time of each service.
///
/// There is at most one entry for each slice and for each service.
#[derive(Debug, Default)]
pub(super) struct Vacancy {
    since: collections::BTreeMap<SliceId, clock::Instant>,
    totals: collections::BTreeMap<id::Service, Duration>,
}

impl Vacancy {
    /// Creates a table that counts from `now` for the slices that are vacant.
    pub(super) fn new(now: clock::Instant, view: &view::View) -> Self {
        let vacant = view.tables().flat_map(|(service, table)| {
            let slices = table.slices().iter().filter(|slice| slice.holder.is_none());
            slices.map(move |slice| ((service, slice.start), now))
        });
        Self {
            since: vacant.collect(),
            totals: collections::BTreeMap::new(),
        }
    }

    /// Records a slice that was created or got another holder.
    pub(super) fn record(
        &mut self,
        now: clock::Instant,
        service: id::Service,
        slice: &table::Slice,
    ) {
        let slice_id = (service, slice.start);
        match slice.holder {
            None => {
                self.since.entry(slice_id).or_insert(now);
            }
            Some(_) => self.end(now, slice_id),
        }
    }

    /// Records that a slice is no longer vacant, or no longer exists.
    pub(super) fn end(&mut self, now: clock::Instant, slice_id: SliceId) {
        if let Some(since) = self.since.remove(&slice_id) {
            *self.totals.entry(slice_id.0).or_default() += now.saturating_since(since);
        }
    }

    /// Removes and returns the whole milliseconds of vacant time of a service until `now`.
    pub(super) fn take_ms(&mut self, now: clock::Instant, service: id::Service) -> u64 {
        let total = self.totals.entry(service).or_default();
        for ((vacant_service, _), since) in &mut self.since {
            if *vacant_service == service {
                *total += now.saturating_since(*since);
                *since = now;
            }
        }
        let whole_ms = u64::try_from(total.as_millis()).unwrap_or(u64::MAX);
        *total = total.saturating_sub(Duration::from_millis(whole_ms));
        whole_ms
    }
}
