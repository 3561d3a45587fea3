//! Slices that come, go, split and merge.

use std::sync;

use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::range;
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
        for (grant, range) in held {
            self.take_held(grant, range);
        }
        if self.stopping {
            // Also slices that were made by a split or merge meanwhile.
            self.release_owned();
        }
    }

    /// Lists the slices that the view says this run holds.
    pub(super) fn held(&self) -> Vec<(event::Grant, range::Range)> {
        let Some(me) = self.me else {
            return Vec::new();
        };
        let mut held = Vec::new();
        for (service, table) in self.view.tables() {
            for (slice, range) in table.iter() {
                let mine = slice.holder.filter(|holder| {
                    holder.server == me.server && holder.incarnation == me.incarnation
                });
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

    fn take_held(&mut self, grant: event::Grant, range: range::Range) {
        if self.releasing.contains_key(&grant) || self.granting.contains(&grant) {
            return;
        }
        let known = self.owned.get(&(grant.service, grant.start));
        if known.is_some_and(|slice| slice.epoch() == grant.epoch && slice.range() == range) {
            return;
        }
        if self.reshape(grant, range) {
            return;
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

    /// Makes a slice out of owned ones, after a split or merge of the same grants.
    fn reshape(&mut self, grant: event::Grant, range: range::Range) -> bool {
        let sources: Vec<_> = self
            .owned
            .values()
            .filter(|slice| {
                let overlap =
                    slice.range().first <= range.last && range.first <= slice.range().last;
                slice.service() == grant.service && overlap
            })
            .cloned()
            .collect();
        let covered: f64 = sources
            .iter()
            .map(|slice| overlap(slice.range(), range))
            .sum();
        let same_run = sources.iter().all(|slice| slice.epoch() <= grant.epoch);
        let latest = sources.iter().map(|slice| slice.epoch()).max();
        // A later epoch than any source means a new grant, which the backend server must take.
        if latest != Some(grant.epoch) || !same_run || covered < range.share() {
            return false;
        }
        let borrowed = sources.iter().map(sync::Arc::as_ref);
        let Some(made) = owned::Slice::with_parts_of(range, grant.epoch, borrowed) else {
            return false;
        };
        let owned = sync::Arc::make_mut(&mut self.owned);
        for slice in &sources {
            let first = slice.range().first;
            let inside = range.contains(first) && first != grant.start;
            if inside {
                owned.remove(&(grant.service, first));
            }
        }
        // The old slices take no new requests, but those in flight still count.
        for slice in &sources {
            let replaced = !owned.values().any(|other| sync::Arc::ptr_eq(other, slice));
            if replaced || slice.range().first == grant.start {
                slice.close();
            }
        }
        owned.insert((grant.service, grant.start), sync::Arc::new(made));
        true
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
        if self.stopping {
            let name = self.service_name(grant.service);
            self.effects.push(Effect::Revoke(grant, name, range));
            return self.pass_on(grant);
        }
        if let Err(error) = taken {
            tracing::warn!(%error, service = %grant.service, first = %grant.start, "grant failed");
            self.granting.insert(grant);
            let name = self.service_name(grant.service);
            self.effects.push(Effect::Grant(grant, name, range));
            return;
        }
        let window = self.window_of(grant);
        let slice = owned::Slice::new(grant.service, range, grant.epoch, window);
        tracing::info!(
            target: "sequoiayoke::placement",
            service = self.service_name(grant.service),
            first = %range.first,
            last = %range.last,
            epoch = grant.epoch.0,
            "slice is owned"
        );
        let owned = sync::Arc::make_mut(&mut self.owned);
        owned.insert((grant.service, grant.start), sync::Arc::new(slice));
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
        self.effects.push(Effect::AwaitIdle(grant, slice));
    }

    /// A closed slice is idle.
    pub fn idle(&mut self, grant: event::Grant, export: Option<window::Export>) {
        if !self.releasing.contains_key(&grant) {
            return;
        }
        let owned = sync::Arc::make_mut(&mut self.owned);
        let slice = owned.remove(&(grant.service, grant.start));
        if let Some(slice) = slice {
            let name = self.service_name(grant.service);
            self.effects
                .push(Effect::Revoke(grant, name, slice.range()));
        }
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

    /// Tells control that this run holds nothing any more.
    pub fn say_leaving(&mut self) {
        if self.connected {
            let leaving = session::Leaving {};
            self.effects.push(Effect::Send(leaving.into()));
        }
    }

    fn service_name(&self, service: id::Service) -> String {
        let service = self.view.service_by_id(service);
        service.map(|one| one.name.clone()).unwrap_or_default()
    }
}

fn overlap(one: range::Range, other: range::Range) -> f64 {
    let first = one.first.max(other.first);
    let last = one.last.min(other.last);
    match first <= last {
        true => range::Range { first, last }.share(),
        false => 0.0,
    }
}
