//! Grants, releases, splits and merges of slices.

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
    /// Reconciles the owned slices with the view.
    pub(super) fn sync_owned(&mut self) {
        let held = self.held();
        self.drop_unheld(&held);
        // All parts of a split are built from the slices as they were before the split.
        let before = sync::Arc::clone(&self.owned);
        for (grant, range) in held {
            self.sync_held(&before, grant, range);
        }
        if self.stopping {
            // Includes slices that a split or merge has created in the meantime.
            self.release_owned();
        }
    }

    /// Returns the slices that this run holds according to the view.
    pub(super) fn held(&self) -> Vec<(event::Grant, range::Range)> {
        let mut held = Vec::new();
        for (service, table) in self.view.tables() {
            for (slice, range) in table.iter() {
                let own_holder = slice.holder.filter(|holder| self.is_own(holder));
                if let Some(holder) = own_holder {
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

    fn drop_unheld(&mut self, held: &[(event::Grant, range::Range)]) {
        let holds = |service: id::Service, hash: key::Hash| {
            let mut held = held.iter();
            held.any(|(grant, range)| grant.service == service && range.contains(hash))
        };
        let unheld: Vec<_> = self
            .owned
            .iter()
            .filter(|((service, _), slice)| !holds(*service, slice.range().first))
            .map(|(key, slice)| (*key, sync::Arc::clone(slice)))
            .collect();
        let owned = sync::Arc::make_mut(&mut self.owned);
        for (key, slice) in unheld {
            slice.close();
            owned.remove(&key);
        }
        self.releasing
            .retain(|grant, _| held.iter().any(|(held, _)| held == grant));
        self.granting
            .retain(|grant| held.iter().any(|(held, _)| held == grant));
    }

    fn sync_held(&mut self, before: &published::Owned, grant: event::Grant, range: range::Range) {
        if self.releasing.contains_key(&grant) || self.granting.contains(&grant) {
            return;
        }
        let owned = self.owned.get(&(grant.service, grant.start));
        if owned.is_some_and(|slice| slice.epoch() == grant.epoch && slice.range() == range) {
            return;
        }
        let sources = overlapping(before, grant, range);
        // If the sources cover the whole slice, the backend server already has its grant.
        let covered: u128 = sources
            .iter()
            .map(|slice| overlap(slice.range(), range))
            .sum();
        let latest = sources.iter().map(|slice| slice.epoch()).max();
        if latest == Some(grant.epoch) && covered == overlap(range, range) {
            return self.reshape(grant, range, &sources);
        }
        if self.stopping {
            return self.release_unused(grant);
        }
        self.granting.insert(grant);
        let name = self.service_name(grant.service);
        self.effects.push(Effect::Grant(grant, name, range));
    }

    /// Releases a grant under which no request has run.
    fn release_unused(&mut self, grant: event::Grant) {
        let export = self.take_window(grant).export();
        self.send_released(grant, Some(&export));
        self.releasing.insert(grant, Some(export));
    }

    /// Builds a slice from owned ones, preserving their records and requests in flight.
    fn reshape(
        &mut self,
        grant: event::Grant,
        range: range::Range,
        sources: &[sync::Arc<owned::Slice>],
    ) {
        let borrowed = sources.iter().map(sync::Arc::as_ref);
        let slice = owned::Slice::with_parts_of(range, grant.epoch, borrowed, self.limits);
        let Some(reshaped) = slice else {
            return;
        };
        let owned = sync::Arc::make_mut(&mut self.owned);
        // The old slices accept no new requests, but those in flight still count.
        for slice in sources {
            slice.close();
            let key = (grant.service, slice.range().first);
            let current = owned.get(&key);
            if current.is_some_and(|current| sync::Arc::ptr_eq(current, slice)) {
                owned.remove(&key);
            }
        }
        owned.insert((grant.service, grant.start), sync::Arc::new(reshaped));
    }

    /// Handles the result of sending a grant to the backend server.
    pub fn handle_grant_result(
        &mut self,
        grant: event::Grant,
        result: Result<(), server::command::Error>,
    ) {
        if !self.granting.remove(&grant) {
            return;
        }
        let held = self.held();
        let Some((_, range)) = held.into_iter().find(|(held, _)| *held == grant) else {
            return;
        };
        if let Err(error) = result {
            if self.stopping {
                return self.release_unused(grant);
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
            // The slice was merged with one that was already owned, whose record must be kept.
            return self.reshape(grant, range, &sources);
        }
        let window = self.take_window(grant);
        let slice = owned::Slice::new(grant.service, range, grant.epoch, window);
        let owned = sync::Arc::make_mut(&mut self.owned);
        owned.insert((grant.service, grant.start), sync::Arc::new(slice));
        if self.stopping {
            self.release_owned();
        }
    }

    fn take_window(&mut self, grant: event::Grant) -> window::Window {
        let export = self.prepared.remove(&(grant.service, grant.start));
        let imported =
            export.and_then(|export| window::Window::import(export, grant.epoch, self.limits).ok());
        imported.unwrap_or_else(|| window::Window::new(grant.epoch, self.limits))
    }

    /// Handles the notice of a future grant, which may carry the previous owner's record.
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

    /// Drops the prepared records that may miss the ids of a later owner.
    ///
    /// If another node owned the slice after the record was exported, for example because
    /// the move to this node failed, the record lacks the ids that ran there. A snapshot
    /// does not show the owners in between, so it drops all prepared records.
    pub(super) fn drop_outdated(&mut self, from: id::Version, changes: &[view::Change]) {
        if from == id::Version(0) {
            self.prepared.clear();
        }
        for change in changes {
            match change {
                view::Change::Slice(service, slice) => {
                    let key = (*service, slice.start);
                    let holder = slice.holder.filter(|holder| !self.is_own(holder));
                    let export = self.prepared.get(&key);
                    if let (Some(holder), Some(export)) = (holder, export)
                        && holder.epoch != export.epoch
                    {
                        self.prepared.remove(&key);
                    }
                }
                view::Change::SliceMerged(service, start) => {
                    self.prepared.remove(&(*service, *start));
                }
                _ => {}
            }
        }
    }

    fn is_own(&self, holder: &table::Holder) -> bool {
        self.identity
            .is_some_and(|own| holder.server == own.server && holder.incarnation == own.incarnation)
    }

    /// Handles the order to release a slice to another owner.
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

    /// Handles a closed slice that has no requests in flight any more.
    pub fn handle_idle(&mut self, grant: event::Grant, export: Option<window::Export>) {
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

    /// Starts the shutdown: releases every slice and accepts no new grants.
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

    /// Notifies control that this run leaves, if it owns no slice any more.
    ///
    /// Otherwise requests are still in flight, and the lease has to expire.
    pub fn send_leaving(&mut self) {
        if self.connected && self.owned.is_empty() {
            let leaving = session::Leaving {};
            self.effects.push(Effect::Send(leaving.into()));
        }
    }

    fn service_name(&self, service: id::Service) -> String {
        let service = self.view.service_by_id(service);
        service
            .map(|service| service.name.clone())
            .unwrap_or_default()
    }
}

/// Returns the owned slices that overlap `range`.
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

/// Returns the number of positions that lie in both ranges.
fn overlap(left: range::Range, right: range::Range) -> u128 {
    let first = left.first.max(right.first);
    let last = left.last.min(right.last);
    match first <= last {
        true => u128::from(last.0 - first.0) + 1,
        false => 0,
    }
}
