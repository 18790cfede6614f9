//! A zone cut off and healed, and a VM lost and restarted.

use std::time::{Duration, Instant};

use bronzespoke_standin::caller;
use http::StatusCode;

use crate::demo::{COMMAND, Demo, cell, requests};

/// The zone that is cut off, and the number of its first VM.
const CUT: (u16, usize) = (3, 4);
/// Freshness lease of 3 s, 2% drift and the time of one request.
const STALE: Duration = Duration::from_millis(3_500);
/// Longest time for a cell to be whole again.
const HEAL: Duration = Duration::from_secs(15);

impl Demo {
    pub(super) async fn zone_cut(&mut self) -> Result<(), String> {
        println!("Partition: zone {} is cut off.", CUT.0);
        self.cell.cut(CUT.0);
        let start = Instant::now();
        let refused = loop {
            let answer =
                caller::request(self.cell.http(CUT.1), "reconciliations", &self.key, None, "cut").await;
            let refused = answer.is_ok_and(|answer| {
                answer.status == StatusCode::SERVICE_UNAVAILABLE && answer.text().contains("not run")
            });
            if refused || start.elapsed() > STALE {
                break refused;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        println!(
            "  Keyed work is refused with `not run` after {} ms.",
            start.elapsed().as_millis()
        );
        self.tally.check(
            refused,
            "a zone that cannot know of withdrawn keys refuses keyed work",
        );
        let open = self.open_request(CUT.1).await;
        self.tally.check(open, "open queues of the cut-off zone go on");
        let elsewhere = self
            .cell
            .insist(0, "set config retry_percent=13 expect 1", COMMAND)
            .await;
        self.tally
            .check(elsewhere.is_ok(), "the others accept configuration meanwhile");
        self.small_job(0).await?;
        self.cell.heal();
        let key = self.key.clone();
        requests::settle(&self.cell, &key).await?;
        let applied = cell::wait(HEAL, || self.has_version(CUT.1, 2)).await;
        self.tally.check(
            applied.is_some(),
            "the healed zone catches up with the configuration",
        );
        self.small_job(CUT.1).await
    }

    fn has_version(&self, number: usize, wanted: u64) -> bool {
        let name = ["a-1", "a-2", "b-1", "b-2", "c-1", "c-2"][number];
        self.cell.events().iter().any(|event| {
            event.process == name
                && matches!(event.kind, bronzespoke_model::event::Kind::ConfigApplied { version } if version >= wanted)
        })
    }

    /// The first VM of zone 2 is lost while a job that it accepted runs, and comes back.
    pub(super) fn vm_lost(&mut self, runtime: &tokio::runtime::Runtime) -> Result<(), String> {
        const LOST: usize = 2;
        const OTHER: usize = 3;
        println!("Loss: VM b-1 stops at once and starts again.");
        let job = runtime.block_on(self.long_job(LOST))?;
        self.cell.kill(LOST);
        runtime.block_on(self.finish("job of a lost VM", OTHER, job, 20));
        self.cell.restart(LOST).map_err(|error| error.to_string())?;
        runtime.block_on(async {
            let ready = cell::wait(HEAL, || self.cell.is_ready()).await;
            self.tally
                .check(ready.is_some(), "the restarted VM takes work again");
            let key = self.key.clone();
            requests::settle(&self.cell, &key).await?;
            self.small_job(LOST).await
        })
    }
}
