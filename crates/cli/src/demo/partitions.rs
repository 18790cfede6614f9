//! Demo steps for a network partition that isolates a zone, and for the crash and restart of a VM.

use std::time::{Duration, Instant};

use bronzespoke_standin::caller;
use http::StatusCode;

use crate::demo::{COMMAND_TIMEOUT, Demo, cell, requests};

/// Zone that is partitioned from the others, and the number of its first VM.
const CUT_ZONE: (u16, usize) = (3, 4);
/// Time until a partitioned zone refuses keyed work: the freshness lease of 3 s, 2% clock drift and one request.
const STALE_LIMIT: Duration = Duration::from_millis(3_500);
/// Timeout for the cell to recover.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

impl Demo {
    /// Partitions a zone, checks which work each side of the partition accepts, then heals the partition.
    pub(super) async fn partition_zone(&mut self) -> Result<(), String> {
        println!("Partition: zone {} is cut off.", CUT_ZONE.0);
        self.cell.cut(CUT_ZONE.0);
        let start = Instant::now();
        let refused = loop {
            let response = caller::request(
                self.cell.http(CUT_ZONE.1),
                "reconciliations",
                &self.key,
                None,
                "cut",
            )
            .await;
            let refused = response.is_ok_and(|response| {
                response.status == StatusCode::SERVICE_UNAVAILABLE && response.text().contains("not run")
            });
            if refused || start.elapsed() > STALE_LIMIT {
                break refused;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        println!(
            "  Keyed work is refused with `not run` after {} ms.",
            start.elapsed().as_millis()
        );
        self.counters.check(
            refused,
            "a zone that cannot know of withdrawn keys refuses keyed work",
        );
        let open = self.open_request(CUT_ZONE.1).await;
        self.counters.check(open, "open queues of the cut-off zone go on");
        let elsewhere = self
            .cell
            .execute_until_accepted(0, "set config retry_percent=13 expect 1", COMMAND_TIMEOUT)
            .await;
        self.counters
            .check(elsewhere.is_ok(), "the others accept configuration meanwhile");
        self.run_small_job(0).await?;
        self.cell.heal();
        let key = self.key.clone();
        requests::wait_until_serving(&self.cell, &key).await?;
        let applied = cell::wait_until(RECOVERY_TIMEOUT, || self.has_version(CUT_ZONE.1, 2)).await;
        self.counters.check(
            applied.is_some(),
            "the healed zone catches up with the configuration",
        );
        self.run_small_job(CUT_ZONE.1).await
    }

    fn has_version(&self, number: usize, minimum: u64) -> bool {
        let name = ["a-1", "a-2", "b-1", "b-2", "c-1", "c-2"][number];
        self.cell.events().iter().any(|event| {
            event.process == name
                && matches!(event.kind, bronzespoke_model::event::Kind::ConfigApplied { version } if version >= minimum)
        })
    }

    /// Crashes the first VM of zone 2 while a job that it accepted runs, then restarts it.
    pub(super) fn lose_vm(&mut self, runtime: &tokio::runtime::Runtime) -> Result<(), String> {
        const LOST: usize = 2;
        const OTHER: usize = 3;
        println!("Loss: VM b-1 stops at once and starts again.");
        let job = runtime.block_on(self.submit_long_job(LOST))?;
        self.cell.kill(LOST);
        runtime.block_on(self.wait_for_job("job of a lost VM", OTHER, job, 20));
        self.cell.restart(LOST).map_err(|error| error.to_string())?;
        runtime.block_on(async {
            let ready = cell::wait_until(RECOVERY_TIMEOUT, || self.cell.is_ready()).await;
            self.counters
                .check(ready.is_some(), "the restarted VM takes work again");
            let key = self.key.clone();
            requests::wait_until_serving(&self.cell, &key).await?;
            self.run_small_job(LOST).await
        })
    }
}
