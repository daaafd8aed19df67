//! The list of booking exchanges, as the directory has told it.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{DirectoryEntry, ExchangeId, Health, NodeNumber, Settings, Topology, UpdateKind};

/// The exchanges that are listed, with their last lines.
#[derive(Debug, Default)]
pub struct Exchanges {
    lines: BTreeMap<ExchangeId, DirectoryEntry>,
    /// Every place that was ever listed or that the settings name; they are few, however often their exchanges
    /// change.
    places: BTreeSet<NodeNumber>,
    /// Places under this number belong to the deployment, listed or not.
    numbered_below: u32,
}

impl Exchanges {
    /// No exchange listed yet; places that the settings name are served once one is. In a mesh each router has
    /// an exchange of its own, numbered as the routers are.
    pub fn expecting(settings: &Settings) -> Self {
        let meshed = matches!(settings.topology, Topology::Meshed(_));
        let places = settings.classes.iter().flat_map(|class| class.pools.iter().copied()).collect();
        let numbered_below = if meshed { settings.fleet_size } else { 0 };
        Self { lines: BTreeMap::new(), places, numbered_below }
    }

    /// Applies news; returns the exchanges that are gone with it.
    pub fn apply(&mut self, kind: UpdateKind, entries: &[DirectoryEntry]) -> Vec<ExchangeId> {
        let whole = matches!(kind, UpdateKind::Full | UpdateKind::Stored);
        let listed = |id: &ExchangeId| entries.iter().any(|e| e.exchange == *id);
        let before: Vec<ExchangeId> = self.lines.keys().cloned().collect();
        // Guards against growth for good: exchanges come under ever new ids, and those that go are dropped.
        self.lines.retain(|id, _| !whole || listed(id));
        for entry in entries {
            self.places.insert(entry.node);
            if entry.health == Health::Gone {
                self.lines.remove(&entry.exchange);
            } else {
                self.lines.insert(entry.exchange.clone(), entry.clone());
            }
        }
        before.into_iter().filter(|id| !self.lines.contains_key(id)).collect()
    }

    /// All lines.
    pub fn lines(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.lines.values()
    }

    /// Whether a place is one that calls can go to, now or when its exchange is back.
    pub fn serves(&self, place: NodeNumber) -> bool {
        place.0 < self.numbered_below || self.places.contains(&place)
    }

    /// Whether the exchange is listed.
    pub fn knows(&self, exchange: &ExchangeId) -> bool {
        self.lines.contains_key(exchange)
    }
}
