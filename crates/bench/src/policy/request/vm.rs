//! Entry VMs of the simulation, with the policies of `request` or with round robin and unconditional retries.

use std::time::Duration;

use bronzespoke_model::id;
use bronzespoke_request::{admission, allotment, retry, router, rules};

use super::world;

/// Service that all requests address.
pub(super) const SERVICE: id::ServiceId = 1;
/// Maximum attempts of one request in the round-robin baseline.
pub(super) const BASELINE_ATTEMPTS: u32 = 4;
/// Retry budget in percent of requests.
const RETRY_PERCENT: u32 = 10;
/// Byte budget for traffic to other regions.
const REMOTE_BYTES_PER_SECOND: u32 = 256 * 1024;

/// Policies of `request` as one VM holds them.
pub(super) struct Production {
    pub admission: admission::Admission,
    pub router: router::Router,
    pub retry: retry::Retry,
}

/// Admission, routing and retry policy of an entry VM.
pub(super) enum Engine {
    Production(Box<Production>),
    RoundRobin { next: usize },
}

/// Simulated entry VM.
pub(super) struct Vm {
    pub zone: u16,
    pub engine: Engine,
}

/// Creates the entry VMs; without a load source they use round robin.
pub(super) fn vms(seed: u64, load_source: Option<router::LoadSource>) -> Vec<Vm> {
    let entry = |index: usize| allotment::Entry {
        vm: index as u64 + 1,
        place: world::place((index % world::ZONES) as u16),
    };
    (0..world::VMS)
        .map(|index| {
            let engine = match load_source {
                None => Engine::RoundRobin { next: index * 7 },
                Some(load_source) => {
                    let rules = rules::Rules::default();
                    let seed = seed.wrapping_add(index as u64);
                    let mut router = router::Router::new(router::Config {
                        own: entry(index),
                        remote_bytes_per_second: REMOTE_BYTES_PER_SECOND,
                        seed,
                        load_source,
                        rules,
                    });
                    let entries = (0..world::VMS).map(entry).collect();
                    router.apply(Duration::ZERO, router::Update::Entries(entries));
                    Engine::Production(Box::new(Production {
                        admission: admission::Admission::new(seed, rules),
                        router,
                        retry: retry::Retry::new(RETRY_PERCENT, rules),
                    }))
                }
            };
            Vm {
                zone: (index % world::ZONES) as u16,
                engine,
            }
        })
        .collect()
}
