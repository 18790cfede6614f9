//! Durable files of a replica: checksummed log segments, snapshots and votes.
