//! Time for which slices have no holder.

use std::collections;
use std::time::Duration;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::table;
use sequoiayoke_model::view;

use super::Place;

/// Vacant slices and the sums of their times; as many entries as slices and services.
#[derive(Debug, Default)]
pub(super) struct Vacancy {
    since: collections::BTreeMap<Place, clock::Instant>,
    sums: collections::BTreeMap<id::Service, Duration>,
}

impl Vacancy {
    /// Starts to count for the slices that are vacant now.
    pub(super) fn new(now: clock::Instant, view: &view::View) -> Self {
        let vacant = view.tables().flat_map(|(service, table)| {
            let slices = table.slices().iter().filter(|one| one.holder.is_none());
            slices.map(move |slice| ((service, slice.start), now))
        });
        Self {
            since: vacant.collect(),
            sums: collections::BTreeMap::new(),
        }
    }

    /// Notes a slice that was made or changed hands.
    pub(super) fn changed(
        &mut self,
        now: clock::Instant,
        service: id::Service,
        slice: &table::Slice,
    ) {
        let place = (service, slice.start);
        match slice.holder {
            None => {
                self.since.entry(place).or_insert(now);
            }
            Some(_) => self.ended(now, place),
        }
    }

    /// Notes a slice that is vacant no more, or is gone.
    pub(super) fn ended(&mut self, now: clock::Instant, place: Place) {
        if let Some(since) = self.since.remove(&place) {
            *self.sums.entry(place.0).or_default() += now.saturating_since(since);
        }
    }

    /// Takes the whole milliseconds of a service up to now.
    pub(super) fn take_ms(&mut self, now: clock::Instant, service: id::Service) -> u64 {
        let sum = self.sums.entry(service).or_default();
        for ((of, _), since) in &mut self.since {
            if *of == service {
                *sum += now.saturating_since(*since);
                *since = now;
            }
        }
        let whole = u64::try_from(sum.as_millis()).unwrap_or(u64::MAX);
        *sum = sum.saturating_sub(Duration::from_millis(whole));
        whole
    }
}
