//! Memory estimates of tables, for metrics and capacity planning.

/// A B-tree node has space for 11 entries. When keys are inserted in ascending order, 6 are used on average.
const NODE_ENTRIES: usize = 11;
const USED_ENTRIES: usize = 6;
/// Allocator overhead per block in bytes, including rounding.
pub(crate) const ALLOCATION_BYTES: usize = 16;

/// Returns the estimated memory in bytes of a B-tree map with `len` entries of type `E`, without heap data of the
/// entries.
pub(crate) const fn btree_bytes<E>(len: usize) -> usize {
    len * size_of::<E>() * NODE_ENTRIES / USED_ENTRIES
}
