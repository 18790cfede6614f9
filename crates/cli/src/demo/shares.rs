//! Demo step for two teams whose demand exceeds a zone: measures packing, and each team's share against its weight.

use std::time::{Duration, Instant};

use bronzespoke_language::answer;
use bronzespoke_model::{id, job};

use crate::demo::{Demo, jobs};

/// Number of tasks of each team's job; several times as many as fit in a zone at the same time.
const TASKS: u32 = 320;
/// Processors of a task, in cores.
const CORES: u32 = 4;
/// Length of the measurement; both teams have work waiting for this long.
const SAMPLING_PERIOD: Duration = Duration::from_millis(1_500);
/// Interval between two samples.
const SAMPLING_INTERVAL: Duration = Duration::from_millis(50);
/// Time before the first sample, since the first tasks all belong to the team that submitted first.
const WARM_UP: Duration = Duration::from_millis(700);

impl Demo {
    pub(super) async fn measure_shares(&mut self) -> Result<(), String> {
        println!("Shares: two teams of weights 2 and 1 want more than a zone has.");
        let spec = jobs::spec(job::Kind::Batch, TASKS, CORES, "sleep 200");
        let first = self.submit(0, &spec);
        let other = self.submit_with(&self.second_key, 0, &spec);
        let (first, other) = tokio::join!(first, other);
        let (first, other) = (first?, other?);
        if id::job_zone(first) != id::job_zone(other) {
            return Err(String::from("the two jobs went to different zones"));
        }
        tokio::time::sleep(WARM_UP).await;
        self.sample_usage(id::job_zone(first)).await;
        self.wait_for_job("batch job", 0, first, TASKS).await;
        let ran = self.wait_for_tasks(other).await;
        self.counters
            .check(ran, "every task of the team of weight 1 ran too");
        Ok(())
    }

    /// Measures how many processors of a zone each team uses.
    async fn sample_usage(&mut self, zone: id::AvailabilityZoneId) {
        let line = format!("show holdings where zone={zone}");
        let start = Instant::now();
        let mut used = [0.0; 2];
        let mut samples = 0.0;
        while start.elapsed() < SAMPLING_PERIOD {
            if let answer::Answer::Table(table) = self.cell.execute(0, &line).await {
                used[0] += cpu_used(&table, "federations");
                used[1] += cpu_used(&table, "dojos");
                samples += 1.0;
            }
            tokio::time::sleep(SAMPLING_INTERVAL).await;
        }
        let sum = (used[0] + used[1]).max(1.0);
        self.counters.shares = vec![
            ("federations", 2.0 / 3.0, used[0] / sum),
            ("dojos", 1.0 / 3.0, used[1] / sum),
        ];
        let capacity = 4.0 * 64_000.0;
        self.counters.packing = (samples > 0.0).then(|| sum / samples / capacity);
    }

    async fn wait_for_tasks(&self, job: id::JobId) -> bool {
        let all = || self.fleet.ledger.succeeded(job) == TASKS as usize;
        super::cell::wait_until(Duration::from_secs(20), all)
            .await
            .is_some()
    }
}

/// Returns the processors that a team uses, in thousandths of a core, from `show holdings`.
fn cpu_used(table: &answer::Table, team: &str) -> f64 {
    let row = table
        .rows
        .iter()
        .find(|row| row.get(1) == Some(&answer::Value::from(team)));
    match row.and_then(|row| row.get(2)) {
        Some(answer::Value::Number(milli)) => *milli as f64,
        _ => 0.0,
    }
}
