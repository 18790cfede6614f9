//! Services that targets provide, and open queues that accept requests for them.

use serde::{Deserialize, Serialize};

use crate::id;

/// A service that an operator created.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The service's id.
    pub id: id::ServiceId,
    /// The name in request paths; unique.
    pub name: String,
}

/// An open queue, which takes requests for a service from anyone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// The queue's id.
    pub id: id::QueueId,
    /// The name in request paths; unique.
    pub name: String,
    /// Service that handles the requests.
    pub service: id::ServiceId,
    /// Maximum number of requests in flight, fleet-wide.
    pub requests: u32,
}
