//! Arithmetic on resource amounts that several passes share.

use bronzespoke_model::{job, resource};

/// Returns how many tasks of the given size fit into an amount, at most [`job::MAX_TASKS`].
pub(crate) fn slots(amount: &resource::Amount, size: &resource::Amount) -> u32 {
    let quotient = |total: u32, part: u32| total.checked_div(part).unwrap_or(job::MAX_TASKS);
    quotient(amount.cpu_milli, size.cpu_milli)
        .min(quotient(amount.memory_mib, size.memory_mib))
        .min(quotient(amount.accelerators, size.accelerators))
        .min(job::MAX_TASKS)
}

/// Returns `count` times an amount, or `None` on overflow.
pub(crate) fn multiply(size: &resource::Amount, count: u32) -> Option<resource::Amount> {
    Some(resource::Amount::new(
        size.cpu_milli.checked_mul(count)?,
        size.memory_mib.checked_mul(count)?,
        size.accelerators.checked_mul(count)?,
    ))
}

/// Returns whether ending a run of this size reduces the missing amount in at least one dimension.
pub(crate) const fn relieves(size: &resource::Amount, missing: &resource::Amount) -> bool {
    (missing.cpu_milli > 0 && size.cpu_milli > 0)
        || (missing.memory_mib > 0 && size.memory_mib > 0)
        || (missing.accelerators > 0 && size.accelerators > 0)
}
