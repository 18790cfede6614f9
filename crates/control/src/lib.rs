//! Replicated control state: root group and zone group state machines.
