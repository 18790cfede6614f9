//! Stand-in targets and workers of the demo.

use std::{sync::Arc, time::Duration};

use bronzespoke_model::{id, resource, worker};
use bronzespoke_standin::{ledger, target, worker as standin};
use tokio_util::sync::CancellationToken;

use crate::demo::cell;

/// Number of targets in each zone.
const TARGETS_PER_ZONE: u64 = 3;
/// Number of workers in each zone.
const WORKERS_PER_ZONE: u64 = 4;
/// Number of workers in each rack.
const WORKERS_PER_RACK: u64 = 2;
/// Number of requests that a target runs concurrently.
const SLOTS: u32 = 8;
/// Processors of a worker, in thousandths of a core.
const CPU_MILLI: u32 = 64_000;
/// Memory of a worker, in MiB.
const MEMORY_MIB: u32 = 128 * 1024;
/// Accelerators of the first worker of each zone.
const ACCELERATORS: u32 = 4;
/// Time that a target takes to run a request.
const RUN_TIME: Duration = Duration::from_millis(5);
/// Interval at which a target renews its announcement.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Stand-in targets and workers of all zones.
#[derive(Debug)]
pub struct Fleet {
    cancel: CancellationToken,
    /// Runs as recorded by the workers, independent of the daemons.
    pub ledger: Arc<ledger::Ledger>,
    /// Targets with their ids and availability zones.
    pub targets: Vec<(id::TargetId, id::AvailabilityZoneId, Arc<target::Target>)>,
}

impl Fleet {
    /// Returns an empty fleet, whose stand-ins stop when `cancel` is cancelled.
    pub fn new(cancel: CancellationToken) -> Self {
        Self {
            cancel,
            ledger: Arc::new(ledger::Ledger::default()),
            targets: Vec::new(),
        }
    }

    /// Starts the stand-ins of every zone.
    pub async fn start(&mut self, cell: &cell::Cell) -> Result<(), String> {
        for place in cell::ZONES {
            let entries = cell.entries(place.zone);
            for number in 0..TARGETS_PER_ZONE {
                let target = u64::from(place.zone) * 100 + number;
                let started = target::Target::start(SLOTS, target::Behaviour::Echo(RUN_TIME)).await;
                let running = Arc::new(started.map_err(|error| error.to_string())?);
                let announcement = running.announcement(target, "reconciliations", SLOTS);
                let entry = entries[number as usize % entries.len()];
                let cancel = self.cancel.child_token();
                tokio::spawn(target::Target::announce(
                    announcement,
                    entry,
                    RENEWAL_INTERVAL,
                    cancel,
                ));
                self.targets.push((target, place.zone, running));
            }
            for number in 0..WORKERS_PER_ZONE {
                let accelerators = if number == 0 { ACCELERATORS } else { 0 };
                let registration = worker::Registration {
                    worker: u64::from(place.zone) * 1000 + number,
                    incarnation: 1,
                    rack: (number / WORKERS_PER_RACK) as id::RackId,
                    capacity: resource::Capacity {
                        amount: resource::Amount::new(CPU_MILLI, MEMORY_MIB, accelerators),
                        accelerator: u16::from(accelerators > 0),
                    },
                };
                let options = standin::Options {
                    registration,
                    entries: entries.clone(),
                    fail_all: false,
                };
                tokio::spawn(standin::run(
                    options,
                    Arc::clone(&self.ledger),
                    self.cancel.child_token(),
                ));
            }
        }
        Ok(())
    }

    /// Returns how often a request with this body ran, summed over all targets.
    pub fn runs_of(&self, body: &[u8]) -> u32 {
        self.targets
            .iter()
            .map(|(_, _, target)| target.runs_of(body))
            .sum()
    }
}
