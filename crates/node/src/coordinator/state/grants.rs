//! Slices that come, go, split and merge.

use std::sync;

use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::range;
use sequoiayoke_model::table;
use sequoiayoke_model::view;
use sequoiayoke_traffic::window;
use sequoiayoke_wire::session;

use super::{Effect, State};
use crate::coordinator::event;
use crate::coordinator::exports;
use crate::published;
use crate::traffic::owned;
use crate::traffic::server;

impl State {
    /// Brings the owned slices in line with the view.
    pub(super) fn sync_owned(&mut self) {
        let held = self.held();
        self.drop_lost(&held);
        // The parts of a split are all made out of the slices as they were before it.
        let before = sync::Arc::clone(&self.owned);
        for (grant, range) in held {
            self.take_held(&before, grant, range);
        }
        if self.stopping {
            // Also slices that were made by a split or merge meanwhile.
            self.release_owned();
        }
    }

    /// Lists the slices that the view says this run holds.
    pub(super) fn held(&self) -> Vec<(event::Grant, range::Range)> {
        let mut held = Vec::new();
        for (service, table) in self.view.tables() {
            for (slice, range) in table.iter() {
                let mine = slice.holder.filter(|holder| self.is_me(holder));
                if let Some(holder) = mine {
                    let grant = event::Grant {
                        service,
                        start: slice.start,
                        epoch: holder.epoch,
                    };
                    held.push((grant, range));
                }
            }
        }
        held
    }

    fn drop_lost(&mut self, held: &[(event::Grant, range::Range)]) {
        let holds = |service: id::Service, hash: key::Hash| {
            let mut held = held.iter();
            held.any(|(grant, range)| grant.service == service && range.contains(hash))
        };
        let lost: Vec<_> = self
            .owned
            .iter()
            .filter(|((service, _), slice)| !holds(*service, slice.range().first))
            .map(|(key, slice)| (*key, sync::Arc::clone(slice)))
            .collect();
        let owned = sync::Arc::make_mut(&mut self.owned);
        for (key, slice) in lost {
            slice.close();
            owned.remove(&key);
        }
        self.releasing
            .retain(|grant, _| held.iter().any(|(one, _)| one == grant));
        self.granting
            .retain(|grant| held.iter().any(|(one, _)| one == grant));
    }

    fn take_held(&mut self, before: &published::Owned, grant: event::Grant, range: range::Range) {
        if self.releasing.contains_key(&grant) || self.granting.contains(&grant) {
            return;
        }
        let known = self.owned.get(&(grant.service, grant.start));
        if known.is_some_and(|slice| slice.epoch() == grant.epoch && slice.range() == range) {
            return;
        }
        let sources = overlapping(before, grant, range);
        // The backend server has taken these grants already if they cover the whole slice.
        let covered: u128 = sources
            .iter()
            .map(|slice| overlap(slice.range(), range))
            .sum();
        let latest = sources.iter().map(|slice| slice.epoch()).max();
        if latest == Some(grant.epoch) && covered == overlap(range, range) {
            return self.reshape(grant, range, &sources);
        }
        if self.stopping {
            return self.pass_on(grant);
        }
        self.granting.insert(grant);
        let name = self.service_name(grant.service);
        self.effects.push(Effect::Grant(grant, name, range));
    }

    /// Releases a grant under which nothing has run.
    fn pass_on(&mut self, grant: event::Grant) {
        let export = self.window_of(grant).export();
        self.send_released(grant, Some(&export));
        self.releasing.insert(grant, Some(export));
    }

    /// Makes a slice out of owned ones, which keeps their records and requests in flight.
    fn reshape(
        &mut self,
        grant: event::Grant,
        range: range::Range,
        sources: &[sync::Arc<owned::Slice>],
    ) {
        let borrowed = sources.iter().map(sync::Arc::as_ref);
        let made = owned::Slice::with_parts_of(range, grant.epoch, borrowed, self.limits);
        let Some(made) = made else {
            return;
        };
        let owned = sync::Arc::make_mut(&mut self.owned);
        // The old slices take no new requests, but those in flight still count.
        for slice in sources {
            slice.close();
            let place = (grant.service, slice.range().first);
            let present = owned.get(&place);
            if present.is_some_and(|present| sync::Arc::ptr_eq(present, slice)) {
                owned.remove(&place);
            }
        }
        owned.insert((grant.service, grant.start), sync::Arc::new(made));
    }

    /// The backend server has taken a grant, or not.
    pub fn granted(&mut self, grant: event::Grant, taken: Result<(), server::command::Error>) {
        if !self.granting.remove(&grant) {
            return;
        }
        let held = self.held();
        let Some((_, range)) = held.into_iter().find(|(one, _)| *one == grant) else {
            return;
        };
        if let Err(error) = taken {
            if self.stopping {
                return self.pass_on(grant);
            }
            tracing::warn!(%error, service = %grant.service, first = %grant.start, "grant failed");
            self.granting.insert(grant);
            let name = self.service_name(grant.service);
            self.effects.push(Effect::Grant(grant, name, range));
            return;
        }
        tracing::info!(
            target: "sequoiayoke::placement",
            service = self.service_name(grant.service),
            first = %range.first,
            last = %range.last,
            epoch = grant.epoch.0,
            "slice is owned"
        );
        let sources = overlapping(&self.owned, grant, range);
        if !sources.is_empty() {
            // Merged with a slice that was owned before: its record must not be lost.
            return self.reshape(grant, range, &sources);
        }
        let window = self.window_of(grant);
        let slice = owned::Slice::new(grant.service, range, grant.epoch, window);
        let owned = sync::Arc::make_mut(&mut self.owned);
        owned.insert((grant.service, grant.start), sync::Arc::new(slice));
        if self.stopping {
            self.release_owned();
        }
    }

    fn window_of(&mut self, grant: event::Grant) -> window::Window {
        let export = self.prepared.remove(&(grant.service, grant.start));
        let imported =
            export.and_then(|export| window::Window::import(export, grant.epoch, self.limits).ok());
        imported.unwrap_or_else(|| window::Window::new(grant.epoch, self.limits))
    }

    /// A slice will be granted soon; its earlier owner's record may come along.
    pub(super) fn prepare(&mut self, prepare: session::Prepare) {
        let (service, start) = (id::Service(prepare.service), key::Hash(prepare.start));
        match prepare.window {
            Some(window) => {
                let export = exports::decode(id::Epoch(prepare.epoch), window);
                self.prepared.insert((service, start), export);
            }
            None => {
                let Some(table) = self.view.table(service) else {
                    return;
                };
                let range = table.find(start).1;
                let name = self.service_name(service);
                self.effects.push(Effect::Prepare(name, range));
            }
        }
    }

    /// Drops the records of earlier owners that another owner may have followed.
    ///
    /// Such a record misses the ids that ran under that owner, for example after a move
    /// to this node that failed. A snapshot does not show who came in between.
    pub(super) fn drop_outdated(&mut self, from: id::Version, changes: &[view::Change]) {
        if from == id::Version(0) {
            self.prepared.clear();
        }
        for change in changes {
            match change {
                view::Change::Slice(service, slice) => {
                    let place = (*service, slice.start);
                    let holder = slice.holder.filter(|one| !self.is_me(one));
                    let export = self.prepared.get(&place);
                    if let (Some(holder), Some(export)) = (holder, export)
                        && holder.epoch != export.epoch
                    {
                        self.prepared.remove(&place);
                    }
                }
                view::Change::SliceMerged(service, start) => {
                    self.prepared.remove(&(*service, *start));
                }
                _ => {}
            }
        }
    }

    fn is_me(&self, holder: &table::Holder) -> bool {
        self.me
            .is_some_and(|me| holder.server == me.server && holder.incarnation == me.incarnation)
    }

    /// A slice is to be released to another owner.
    pub(super) fn release(&mut self, release: &session::Release) {
        let grant = event::Grant {
            service: id::Service(release.service),
            start: key::Hash(release.start),
            epoch: id::Epoch(release.epoch),
        };
        if self.releasing.contains_key(&grant) {
            self.repeat_releases();
            return;
        }
        let slice = self.owned.get(&(grant.service, grant.start));
        let slice = slice.filter(|slice| slice.epoch() == grant.epoch).cloned();
        if let Some(slice) = slice {
            self.start_release(grant, slice);
        }
    }

    fn start_release(&mut self, grant: event::Grant, slice: sync::Arc<owned::Slice>) {
        slice.close();
        self.releasing.insert(grant, None);
        let name = self.service_name(grant.service);
        self.effects.push(Effect::Release(grant, name, slice));
    }

    /// A closed slice is idle.
    pub fn idle(&mut self, grant: event::Grant, export: Option<window::Export>) {
        if !self.releasing.contains_key(&grant) {
            return;
        }
        let owned = sync::Arc::make_mut(&mut self.owned);
        owned.remove(&(grant.service, grant.start));
        self.send_released(grant, export.as_ref());
        self.releasing.insert(grant, export);
    }

    pub(super) fn repeat_releases(&mut self) {
        let done: Vec<_> = self
            .releasing
            .iter()
            .filter_map(|(grant, export)| Some((*grant, export.clone()?)))
            .collect();
        for (grant, export) in done {
            self.send_released(grant, Some(&export));
        }
    }

    fn send_released(&mut self, grant: event::Grant, export: Option<&window::Export>) {
        if !self.connected {
            return;
        }
        let released = session::Released {
            service: grant.service.0,
            start: grant.start.0,
            epoch: grant.epoch.0,
            window: export.map(exports::encode),
        };
        self.effects.push(Effect::Send(released.into()));
    }

    /// Releases every slice and takes no new work; ends when all are idle.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.release_owned();
    }

    fn release_owned(&mut self) {
        let owned: published::Owned = published::Owned::clone(&self.owned);
        for ((service, start), slice) in owned {
            let grant = event::Grant {
                service,
                start,
                epoch: slice.epoch(),
            };
            if !self.releasing.contains_key(&grant) {
                self.start_release(grant, slice);
            }
        }
    }

    /// Tells control that this run holds nothing any more, if that is so.
    ///
    /// Otherwise requests are still in flight, and the lease has to end by itself.
    pub fn say_leaving(&mut self) {
        if self.connected && self.owned.is_empty() {
            let leaving = session::Leaving {};
            self.effects.push(Effect::Send(leaving.into()));
        }
    }

    fn service_name(&self, service: id::Service) -> String {
        let service = self.view.service_by_id(service);
        service.map(|one| one.name.clone()).unwrap_or_default()
    }
}

/// Lists the owned slices that lie in `range`, or partly.
fn overlapping(
    owned: &published::Owned,
    grant: event::Grant,
    range: range::Range,
) -> Vec<sync::Arc<owned::Slice>> {
    let slices = owned.values().filter(|slice| {
        slice.service() == grant.service
            && slice.epoch() <= grant.epoch
            && overlap(slice.range(), range) > 0
    });
    slices.cloned().collect()
}

/// Counts the positions that lie in both ranges.
fn overlap(one: range::Range, other: range::Range) -> u128 {
    let first = one.first.max(other.first);
    let last = one.last.min(other.last);
    match first <= last {
        true => u128::from(last.0 - first.0) + 1,
        false => 0,
    }
}
