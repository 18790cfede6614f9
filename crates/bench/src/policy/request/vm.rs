//! Entry VMs of the simulation: the decisions of `request`, or plain round robin with naive retries.

use std::time::Duration;

use bronzespoke_model::id;
use bronzespoke_request::{admission, allotment, retry, router, rules};

use super::world;

/// The only service.
pub(super) const SERVICE: id::ServiceId = 1;
/// Attempts of one request with naive retries.
pub(super) const PLAIN_ATTEMPTS: u32 = 4;
/// Retries per hundred requests.
const RETRY_PERCENT: u32 = 10;
/// Bytes per second to other regions.
const REMOTE_BYTES: u32 = 256 * 1024;

/// Decisions of one VM.
pub(super) struct Decided {
    pub admission: admission::Admission,
    pub router: router::Router,
    pub retry: retry::Retry,
}

/// What an entry VM decides with.
pub(super) enum Mind {
    Decided(Box<Decided>),
    RoundRobin { next: usize },
}

/// An entry VM.
pub(super) struct Vm {
    pub zone: u16,
    pub mind: Mind,
}

/// Returns the entry VMs.
pub(super) fn vms(seed: u64, sharing: Option<router::LoadSource>) -> Vec<Vm> {
    let entry = |index: usize| allotment::Entry {
        vm: index as u64 + 1,
        place: world::place((index % world::ZONES) as u16),
    };
    (0..world::VMS)
        .map(|index| {
            let mind = match sharing {
                None => Mind::RoundRobin { next: index * 7 },
                Some(sharing) => {
                    let rules = rules::Rules::default();
                    let seed = seed.wrapping_add(index as u64);
                    let mut router = router::Router::new(router::Config {
                        own: entry(index),
                        remote_bytes_per_second: REMOTE_BYTES,
                        seed,
                        load_source: sharing,
                        rules,
                    });
                    let entries = (0..world::VMS).map(entry).collect();
                    router.apply(Duration::ZERO, router::Update::Entries(entries));
                    Mind::Decided(Box::new(Decided {
                        admission: admission::Admission::new(seed, rules),
                        router,
                        retry: retry::Retry::new(RETRY_PERCENT, rules),
                    }))
                }
            };
            Vm {
                zone: (index % world::ZONES) as u16,
                mind,
            }
        })
        .collect()
}
