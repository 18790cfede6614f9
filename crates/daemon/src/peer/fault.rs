//! A switch that cuts links silently, for the demo and for tests of partitions.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLock},
};

/// Set of peer addresses that this process neither sends to nor receives from.
#[derive(Debug, Default, Clone)]
pub struct Switch {
    cut: Arc<RwLock<HashSet<SocketAddr>>>,
}

impl Switch {
    /// Cuts the links to exactly these peers; an empty set restores every link.
    pub fn set(&self, peers: HashSet<SocketAddr>) {
        *self.cut.write().unwrap_or_else(PoisonError::into_inner) = peers;
    }

    /// Returns whether the link to a peer is cut.
    pub fn is_cut(&self, peer: SocketAddr) -> bool {
        self.cut
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .contains(&peer)
    }
}
