//! Replicated log: elections, replication, membership and snapshots, without I/O.
