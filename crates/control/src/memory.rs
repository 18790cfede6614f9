//! Estimates of the memory of tables, for metrics and the capacity page.

/// Nodes of a B-tree hold up to 11 entries and, when keys grow, 6 of them on average.
const NODE_ENTRIES: usize = 11;
const USED_ENTRIES: usize = 6;
/// Bytes that an allocator adds to a block, rounding included.
pub(crate) const ALLOCATION_BYTES: usize = 16;

/// Returns the estimated bytes of a B-tree map with `len` entries of type `E`, without what the entries point to.
pub(crate) const fn map<E>(len: usize) -> usize {
    len * size_of::<E>() * NODE_ENTRIES / USED_ENTRIES
}
