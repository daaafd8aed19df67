//! Booking exchanges currently listed by the directory.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{DirectoryEntry, ExchangeId, Health, NodeNumber, Settings, Topology, UpdateKind};

/// Listed exchanges with their latest directory entries, and the places that calls can go to.
#[derive(Debug, Default)]
pub struct Exchanges {
    entries: BTreeMap<ExchangeId, DirectoryEntry>,
    /// Every place that was ever listed or that the settings name. Places are never removed; they stay few,
    /// since a replaced exchange keeps its place.
    places: BTreeSet<NodeNumber>,
    /// Number of places of a mesh, all of which are served even if not listed; 0 without a mesh.
    meshed_place_count: u32,
}

impl Exchanges {
    /// Creates an empty list that already serves the places named in the settings.
    ///
    /// In a mesh each router has its own exchange with the same number, so that every number below the size
    /// of the fleet is a place.
    pub fn with_places_of(settings: &Settings) -> Self {
        let meshed = matches!(settings.topology, Topology::Meshed(_));
        let places = settings.classes.iter().flat_map(|class| class.pools.iter().copied()).collect();
        let meshed_place_count = if meshed { settings.fleet_size } else { 0 };
        Self { entries: BTreeMap::new(), places, meshed_place_count }
    }

    /// Applies a directory update; returns the exchanges that it removed from the list.
    pub fn apply(&mut self, kind: UpdateKind, entries: &[DirectoryEntry]) -> Vec<ExchangeId> {
        let whole = matches!(kind, UpdateKind::Full | UpdateKind::Stored);
        let listed = |id: &ExchangeId| entries.iter().any(|e| e.exchange == *id);
        let before: Vec<ExchangeId> = self.entries.keys().cloned().collect();
        // A replaced exchange comes back under a new id, so the list would grow forever if old ids were kept.
        self.entries.retain(|id, _| !whole || listed(id));
        for entry in entries {
            self.places.insert(entry.node);
            if entry.health == Health::Gone {
                self.entries.remove(&entry.exchange);
            } else {
                self.entries.insert(entry.exchange.clone(), entry.clone());
            }
        }
        before.into_iter().filter(|id| !self.entries.contains_key(id)).collect()
    }

    /// Returns the entries of all listed exchanges.
    pub fn entries(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.entries.values()
    }

    /// Returns `true` if calls can go to the place, now or once its exchange is listed again.
    pub fn serves(&self, place: NodeNumber) -> bool {
        place.0 < self.meshed_place_count || self.places.contains(&place)
    }

    /// Returns `true` if the exchange is listed.
    pub fn is_listed(&self, exchange: &ExchangeId) -> bool {
        self.entries.contains_key(exchange)
    }
}
