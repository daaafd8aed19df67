//! The list of booking exchanges, as the directory has told it.

use std::collections::BTreeMap;

use crate::interface::{Entry, ExchangeId, Health, ListKind, Place};

/// Every exchange that was ever listed, with its last line.
#[derive(Debug, Default)]
pub struct Exchanges {
    lines: BTreeMap<ExchangeId, Entry>,
}

impl Exchanges {
    /// Applies news; returns the exchanges that are gone with it.
    pub fn apply(&mut self, kind: ListKind, entries: &[Entry]) -> Vec<ExchangeId> {
        let mut gone = Vec::new();
        if matches!(kind, ListKind::Full | ListKind::Stored) {
            for (id, line) in &mut self.lines {
                let listed = entries.iter().any(|e| e.exchange == *id);
                if !listed && line.health != Health::Gone {
                    line.health = Health::Gone;
                    gone.push(id.clone());
                }
            }
        }
        for entry in entries {
            let before = self.lines.insert(entry.exchange.clone(), entry.clone());
            let Some(before) = before else { continue };
            if entry.health == Health::Gone && before.health != Health::Gone {
                gone.push(entry.exchange.clone());
            }
        }
        gone
    }

    /// All lines.
    pub fn lines(&self) -> impl Iterator<Item = &Entry> {
        self.lines.values()
    }

    /// Whether a place is one that calls can go to, now or when its exchange is back.
    pub fn serves(&self, place: Place) -> bool {
        self.lines.values().any(|e| e.place == place)
    }

    /// Whether the exchange was ever listed.
    pub fn knows(&self, exchange: &ExchangeId) -> bool {
        self.lines.contains_key(exchange)
    }
}
