//! The part of a target's connections and slots that one entry VM may use without asking anyone.
//!
//! Every VM computes the parts from the same directory, so their sum stays within what the target accepts without
//! a central lock. Half goes to the VMs of the target's zone, a quarter to the rest of its region and a quarter to
//! other regions; what an empty class would get goes to the zone.

use bronzespoke_model::{id, vm};

/// An entry VM, as far as parts are concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The VM.
    pub vm: id::VmId,
    /// Where it stands.
    pub place: vm::Place,
}

/// Returns how many of `total` this VM (`own`) may use at a target that stands at `target`.
///
/// A directory without `own` counts it as one more VM.
pub fn connections(total: u32, target: vm::Place, own: Entry, entries: &[Entry]) -> u32 {
    let mut counts = [0_u32; 3];
    let mut rank = 0;
    let own_class = class(target, own.place);
    for entry in entries.iter().filter(|entry| entry.vm != own.vm) {
        let other = class(target, entry.place);
        counts[other] += 1;
        rank += u32::from(other == own_class && entry.vm < own.vm);
    }
    counts[own_class] += 1;
    let mut pools = [total - total / 4 - total / 4, total / 4, total / 4];
    let first = counts.iter().position(|count| *count > 0).unwrap_or(0);
    for empty in 0..pools.len() {
        if counts[empty] == 0 {
            pools[first] += std::mem::take(&mut pools[empty]);
        }
    }
    share(pools[own_class], counts[own_class], rank)
}

/// Returns how many of `slots` are lent to this VM: only VMs in the target's zone are lent any, and VMs of other
/// zones when the target's zone has none.
pub fn slots(total: u32, target: vm::Place, own: Entry, entries: &[Entry]) -> u32 {
    let own_class = class(target, own.place);
    let mut count = 1;
    let mut rank = 0;
    for entry in entries.iter().filter(|entry| entry.vm != own.vm) {
        let other = class(target, entry.place);
        if other < own_class {
            return 0;
        }
        count += u32::from(other == own_class);
        rank += u32::from(other == own_class && entry.vm < own.vm);
    }
    share(total, count, rank)
}

/// Returns this VM's part of a limit that holds over all entry VMs.
pub fn limit(total: u32, own: id::VmId, entries: &[Entry]) -> u32 {
    let others = entries.iter().filter(|entry| entry.vm != own);
    let rank = others.clone().filter(|entry| entry.vm < own).count() as u32;
    share(total, others.count() as u32 + 1, rank)
}

fn share(total: u32, count: u32, rank: u32) -> u32 {
    total / count + u32::from(rank < total % count)
}

const fn class(target: vm::Place, own: vm::Place) -> usize {
    match target.distance(&own) {
        vm::Distance::Zone => 0,
        vm::Distance::Region => 1,
        vm::Distance::Remote => 2,
    }
}
