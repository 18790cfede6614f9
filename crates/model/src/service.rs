//! Services that targets answer for, and open queues that feed them.

use serde::{Deserialize, Serialize};

use crate::id;

/// A service.
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
    /// Service that answers.
    pub service: id::ServiceId,
    /// Requests that may be in flight fleet-wide.
    pub requests: u32,
}
