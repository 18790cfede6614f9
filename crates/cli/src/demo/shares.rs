//! Two teams that want more than a zone has: packing, and what each team gets against its weight.

use std::time::{Duration, Instant};

use bronzespoke_language::answer;
use bronzespoke_model::{id, job};

use crate::demo::{Demo, jobs};

/// Tasks of each team's job: several times what fits at once.
const TASKS: u32 = 320;
/// Processors of a task.
const CPU: u32 = 4;
/// Time in which both teams have work waiting, and between two samples of it.
const SAMPLED: Duration = Duration::from_millis(1_500);
const SAMPLE: Duration = Duration::from_millis(50);
/// The first run of tasks belongs to whoever came first.
const SETTLE: Duration = Duration::from_millis(700);

impl Demo {
    pub(super) async fn shares(&mut self) -> Result<(), String> {
        println!("Shares: two teams of weights 2 and 1 want more than a zone has.");
        let spec = jobs::spec(job::Kind::Batch, TASKS, CPU, "sleep 200");
        let first = self.submit(0, &spec);
        let other = self.submit_with(&self.other_key, 0, &spec);
        let (first, other) = tokio::join!(first, other);
        let (first, other) = (first?, other?);
        if id::job_zone(first) != id::job_zone(other) {
            return Err(String::from("the two jobs went to different zones"));
        }
        tokio::time::sleep(SETTLE).await;
        self.sample(id::job_zone(first)).await;
        self.finish("batch job", 0, first, TASKS).await;
        let ran = self.wait_for_other(other).await;
        self.tally
            .check(ran, "every task of the team of weight 1 ran too");
        Ok(())
    }

    async fn sample(&mut self, zone: id::AvailabilityZoneId) {
        let line = format!("show holdings where zone={zone}");
        let start = Instant::now();
        let mut used = [0.0; 2];
        let mut samples = 0.0;
        while start.elapsed() < SAMPLED {
            if let answer::Answer::Table(table) = self.cell.execute(0, &line).await {
                used[0] += cpu_used(&table, "federations");
                used[1] += cpu_used(&table, "dojos");
                samples += 1.0;
            }
            tokio::time::sleep(SAMPLE).await;
        }
        let sum = (used[0] + used[1]).max(1.0);
        self.tally.shares = vec![
            ("federations", 2.0 / 3.0, used[0] / sum),
            ("dojos", 1.0 / 3.0, used[1] / sum),
        ];
        let capacity = 4.0 * 64_000.0;
        self.tally.packing = (samples > 0.0).then(|| sum / samples / capacity);
    }

    async fn wait_for_other(&self, job: id::JobId) -> bool {
        let all = || self.fleet.ledger.succeeded(job) == TASKS as usize;
        super::cell::wait(Duration::from_secs(20), all).await.is_some()
    }
}

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
