//! Registered incarnations by the name and the address of their worker.
//!
//! Each worker announces itself every second or two, and an announcement concerns only the incarnations of the same name
//! or at the same address.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
};

use bronzespoke_control::cell;

/// Incarnations by name and address.
#[derive(Debug, Default)]
pub struct Directory {
    names: HashMap<String, BTreeSet<cell::WorkerIndex>>,
    addresses: HashMap<SocketAddr, BTreeSet<cell::WorkerIndex>>,
    known: HashMap<cell::WorkerIndex, (String, SocketAddr)>,
}

impl Directory {
    /// Adds an incarnation, or updates its address.
    pub fn insert(&mut self, index: cell::WorkerIndex, registered: &cell::Registered) {
        let name = registered.incarnation.name.clone();
        let address = registered.worker.address;
        if self.known.get(&index).is_some_and(|(_, known)| *known == address) {
            return;
        }
        self.remove(index);
        self.names.entry(name.clone()).or_default().insert(index);
        self.addresses.entry(address).or_default().insert(index);
        self.known.insert(index, (name, address));
    }

    /// Removes an incarnation.
    pub fn remove(&mut self, index: cell::WorkerIndex) {
        let Some((name, address)) = self.known.remove(&index) else {
            return;
        };
        if let Some(indexes) = self.names.get_mut(&name) {
            indexes.remove(&index);
            if indexes.is_empty() {
                self.names.remove(&name);
            }
        }
        if let Some(indexes) = self.addresses.get_mut(&address) {
            indexes.remove(&index);
            if indexes.is_empty() {
                self.addresses.remove(&address);
            }
        }
    }

    /// Returns the incarnation with a name that registered last.
    pub fn newest(&self, name: &str) -> Option<cell::WorkerIndex> {
        self.names.get(name)?.last().copied()
    }

    /// Returns the incarnations with a name or at an address, in the order of their registration.
    pub fn find(&self, name: &str, address: SocketAddr) -> BTreeSet<cell::WorkerIndex> {
        let named = self.names.get(name).into_iter().flatten();
        let placed = self.addresses.get(&address).into_iter().flatten();
        named.chain(placed).copied().collect()
    }
}
