//! Estimates of the memory of tables, for metrics and the capacity page.

/// B-tree nodes are about two thirds full, and a hash map has a load factor of at most seven eighths of a power of two;
/// both take about one and a half times the bytes of their entries.
const FILL_NUMERATOR: usize = 3;
const FILL_DENOMINATOR: usize = 2;
/// Bytes that an allocator adds to a block, rounding included.
pub(crate) const ALLOCATION_BYTES: usize = 16;

/// Returns the estimated bytes of a map with `len` entries of type `E`, without what the entries point to.
pub(crate) const fn map<E>(len: usize) -> usize {
    len * size_of::<E>() * FILL_NUMERATOR / FILL_DENOMINATOR
}
