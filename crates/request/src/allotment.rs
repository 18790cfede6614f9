//! Allotments: how many of a target's connections and slots one entry VM may use without coordination.
//!
//! Every VM computes the allotments from the same directory, so that their sum stays within what the target accepts
//! without a central lock. Of the connections, half go to the VMs in the target's zone, a quarter to the rest of its
//! region and a quarter to other regions; the quota of a class without VMs goes to the nearest class that has some.

use bronzespoke_model::{id, vm};

/// An entry VM for the computation of allotments.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// Id of the VM, which ranks it within its class.
    pub vm: id::VmId,
    /// Region and availability zone of the VM.
    pub place: vm::Place,
}

/// Returns how many of `total` connections this VM (`own`) may open to a target that is located at `target`.
///
/// If `entries` does not contain `own`, it is counted as an additional VM.
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
    let mut quotas = [total - total / 4 - total / 4, total / 4, total / 4];
    let nearest = counts.iter().position(|count| *count > 0).unwrap_or(0);
    for empty in 0..quotas.len() {
        if counts[empty] == 0 {
            quotas[nearest] += std::mem::take(&mut quotas[empty]);
        }
    }
    divide(quotas[own_class], counts[own_class], rank)
}

/// Returns how many of `total` slots are reserved for this VM. Only the class of VMs nearest to the target gets any:
/// the VMs in its zone, or, without any there, those in its region, or else those in other regions.
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
    divide(total, count, rank)
}

/// Returns this VM's allotment of a limit that applies to all entry VMs together.
pub fn limit(total: u32, own: id::VmId, entries: &[Entry]) -> u32 {
    let others = entries.iter().filter(|entry| entry.vm != own);
    let rank = others.clone().filter(|entry| entry.vm < own).count() as u32;
    divide(total, others.count() as u32 + 1, rank)
}

/// Returns the portion of the VM at `rank` when `total` is divided among `count` VMs.
fn divide(total: u32, count: u32, rank: u32) -> u32 {
    total / count + u32::from(rank < total % count)
}

const fn class(target: vm::Place, own: vm::Place) -> usize {
    match target.distance(&own) {
        vm::Distance::Zone => 0,
        vm::Distance::Region => 1,
        vm::Distance::Remote => 2,
    }
}
