//! Sets of task indices, stored as ranges.
//!
//! A job with 10,000 waiting tasks needs one range instead of 10,000 records.

use smallvec::SmallVec;

/// A set of task indices. Ranges are half-open and sorted, and neither touch nor overlap.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Set {
    ranges: SmallVec<[(u32, u32); 1]>,
    len: u32,
}

impl Set {
    /// Returns the set `0..end`.
    pub(crate) fn up_to(end: u32) -> Self {
        let mut set = Self::default();
        if end > 0 {
            set.ranges.push((0, end));
            set.len = end;
        }
        set
    }

    /// Returns the number of indices.
    pub(crate) const fn len(&self) -> u32 {
        self.len
    }

    /// Returns whether the set is empty.
    pub(crate) const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Removes and returns the lowest index.
    pub(crate) fn pop(&mut self) -> Option<u32> {
        let first = self.ranges.first_mut()?;
        let index = first.0;
        first.0 += 1;
        if first.0 == first.1 {
            self.ranges.remove(0);
        }
        self.len -= 1;
        Some(index)
    }

    /// Returns whether the set contains an index.
    pub(crate) fn contains(&self, index: u32) -> bool {
        let at = self.ranges.partition_point(|range| range.1 <= index);
        self.ranges.get(at).is_some_and(|range| range.0 <= index)
    }

    /// Inserts an index and returns whether it was new.
    pub(crate) fn insert(&mut self, index: u32) -> bool {
        let at = self.ranges.partition_point(|range| range.1 < index);
        self.len += 1;
        let Some(&(start, end)) = self.ranges.get(at) else {
            self.ranges.push((index, index + 1));
            return true;
        };
        if start <= index && index < end {
            self.len -= 1;
            return false;
        }
        if end == index {
            self.ranges[at].1 += 1;
            self.merge(at);
        } else if index + 1 == start {
            self.ranges[at].0 -= 1;
        } else {
            self.ranges.insert(at, (index, index + 1));
        }
        true
    }

    fn merge(&mut self, at: usize) {
        if at + 1 < self.ranges.len() && self.ranges[at].1 == self.ranges[at + 1].0 {
            self.ranges[at].1 = self.ranges[at + 1].1;
            self.ranges.remove(at + 1);
        }
    }

    /// Checks the invariants of the ranges.
    pub(crate) fn verify(&self) -> Result<(), String> {
        let sorted = self.ranges.windows(2).all(|pair| pair[0].1 < pair[1].0);
        let filled = self.ranges.iter().all(|range| range.0 < range.1);
        let len: u32 = self.ranges.iter().map(|range| range.1 - range.0).sum();
        if sorted && filled && len == self.len {
            Ok(())
        } else {
            Err(format!("ranges {:?} with length {}", self.ranges, self.len))
        }
    }
}
