//! Arithmetic on amounts that several passes need.

use bronzespoke_model::{job, resource};

/// Returns how many tasks of a size fit into an amount.
pub(crate) fn slots(amount: &resource::Amount, size: &resource::Amount) -> u32 {
    let times = |all: u32, one: u32| all.checked_div(one).unwrap_or(job::MAX_TASKS);
    times(amount.cpu_milli, size.cpu_milli)
        .min(times(amount.memory_mib, size.memory_mib))
        .min(times(amount.accelerators, size.accelerators))
        .min(job::MAX_TASKS)
}

/// Returns a multiple of an amount; `None` on overflow.
pub(crate) fn times(size: &resource::Amount, count: u32) -> Option<resource::Amount> {
    Some(resource::Amount::new(
        size.cpu_milli.checked_mul(count)?,
        size.memory_mib.checked_mul(count)?,
        size.accelerators.checked_mul(count)?,
    ))
}

/// Tells whether the end of a run of some size brings down what is missing in some dimension.
pub(crate) const fn relieves(size: &resource::Amount, missing: &resource::Amount) -> bool {
    (missing.cpu_milli > 0 && size.cpu_milli > 0)
        || (missing.memory_mib > 0 && size.memory_mib > 0)
        || (missing.accelerators > 0 && size.accelerators > 0)
}
