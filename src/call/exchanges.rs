//! The exchanges in the membership, and the nodes that they serve.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{ExchangeId, Health, Member, NodeNumber, Settings, Topology, UpdateKind};

/// The exchanges in the membership as last updated, and the nodes that calls can go to. An exchange is listed
/// while it is in the membership.
#[derive(Debug, Default)]
pub struct Exchanges {
    members: BTreeMap<ExchangeId, Member>,
    /// Every node that was ever listed or that the settings name. None is ever removed; they stay few,
    /// since a replaced exchange keeps its node number.
    nodes: BTreeSet<NodeNumber>,
    /// Number of nodes of a mesh, all of which are served even if not listed; 0 without a mesh.
    meshed_node_count: u32,
}

impl Exchanges {
    /// Creates an empty membership; the nodes that the settings name are served already.
    ///
    /// In a mesh each router has its own exchange with the same number, so that every number below the size
    /// of the fleet is a node.
    pub fn with_nodes_of(settings: &Settings) -> Self {
        let meshed = matches!(settings.topology, Topology::Meshed(_));
        let nodes = settings.classes.iter().flat_map(|class| class.pools.iter().copied()).collect();
        let meshed_node_count = if meshed { settings.fleet_size } else { 0 };
        Self { members: BTreeMap::new(), nodes, meshed_node_count }
    }

    /// Applies a membership update; returns the exchanges that are no longer listed.
    pub fn apply(&mut self, kind: UpdateKind, members: &[Member]) -> Vec<ExchangeId> {
        let mut removed = Vec::new();
        if matches!(kind, UpdateKind::Full | UpdateKind::Stored) {
            // A replaced exchange comes back under a new id, so memory would grow without bound if old ids were
            // kept.
            let listed: BTreeSet<&ExchangeId> = members.iter().map(|member| &member.exchange).collect();
            removed.extend(self.members.keys().filter(|id| !listed.contains(id)).cloned());
            removed.iter().for_each(|id| drop(self.members.remove(id)));
        }
        for member in members {
            self.nodes.insert(member.node);
            if member.health != Health::Gone {
                self.members.insert(member.exchange.clone(), member.clone());
            } else if self.members.remove(&member.exchange).is_some() {
                removed.push(member.exchange.clone());
            }
        }
        // An exchange that is named twice may be back.
        removed.retain(|id| !self.members.contains_key(id));
        removed
    }

    /// Returns the members, that is, all listed exchanges.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns `true` if calls can go to the node, now or once its exchange is listed again.
    pub fn serves(&self, node: NodeNumber) -> bool {
        node.0 < self.meshed_node_count || self.nodes.contains(&node)
    }

    /// Returns a listed exchange.
    pub fn member(&self, exchange: &ExchangeId) -> Option<&Member> {
        self.members.get(exchange)
    }

    /// Returns `true` if the exchange is listed.
    pub fn is_listed(&self, exchange: &ExchangeId) -> bool {
        self.members.contains_key(exchange)
    }
}
