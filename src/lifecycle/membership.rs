//! Updates of the membership, and what an update changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::interface::{ExchangeId, Health, Member};

/// An exchange in the membership, with its address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedExchange {
    /// The member, as passed to the controller.
    pub member: Member,
    /// Address on which the exchange accepts connections.
    pub address: SocketAddr,
}

/// An update of the membership.
#[derive(Debug, Clone)]
pub struct MembershipUpdate {
    /// Whether the update holds the full membership, rather than changes to it.
    pub is_full: bool,
    /// The exchanges that the update reports.
    pub exchanges: Vec<ListedExchange>,
}

/// The listed exchanges by their ids.
type Membership = BTreeMap<ExchangeId, ListedExchange>;

impl MembershipUpdate {
    /// Returns what changes if `present` is replaced by the membership after all of `updates`; `None` if nothing
    /// does. The first of them holds the full membership.
    ///
    /// Updates that were applied before are no news, so they must not be applied one after the other again.
    pub fn changes(present: impl IntoIterator<Item = ListedExchange>, updates: &[Self]) -> Option<Self> {
        let mut removed: Membership = by_id(present);
        let mut exchanges = Vec::new();
        for (id, exchange) in membership_after(updates) {
            if removed.remove(&id).as_ref() != Some(&exchange) {
                exchanges.push(exchange);
            }
        }
        exchanges.extend(removed.into_values().map(ListedExchange::into_gone));
        (!exchanges.is_empty()).then_some(Self { is_full: false, exchanges })
    }
}

impl ListedExchange {
    /// Returns the exchange as one that has gone.
    fn into_gone(mut self) -> Self {
        self.member.health = Health::Gone;
        self
    }
}

fn by_id(exchanges: impl IntoIterator<Item = ListedExchange>) -> Membership {
    exchanges.into_iter().map(|exchange| (exchange.member.exchange.clone(), exchange)).collect()
}

/// Returns the membership after all of `updates`.
fn membership_after(updates: &[MembershipUpdate]) -> Membership {
    let mut membership = Membership::new();
    for update in updates {
        if update.is_full {
            membership.clear();
        }
        membership.extend(by_id(update.exchanges.iter().cloned()));
        membership.retain(|_, exchange| exchange.member.health != Health::Gone);
    }
    membership
}
