//! Requests, keys, drains and configuration.

use std::time::{Duration, Instant};

use bronzespoke_language::answer;
use bronzespoke_standin::caller;
use http::{Method, StatusCode};
use sha2::Digest;

use crate::demo::{COMMAND, Demo, cell};

/// Keyed requests of the demo.
const KEYED: usize = 60;
/// Open-queue requests of the demo.
const OPEN: usize = 20;
/// Further non-repeatable requests of the demo.
const ONCE: usize = 30;
/// A withdrawn key stops within the freshness lease of 3 s, 2% drift and the time of one request.
const WITHDRAWN: Duration = Duration::from_millis(3_500);
/// A departing target gets nothing new after this time.
const DEPARTED: Duration = Duration::from_secs(3);
/// A configuration is in force everywhere within this time.
const IN_FORCE: Duration = Duration::from_secs(11);

/// Waits until every VM serves keyed requests.
pub async fn settle(cell: &cell::Cell, key: &str) -> Result<(), String> {
    let start = Instant::now();
    for number in 0..cell::VMS {
        loop {
            let answer = caller::request(cell.http(number), "reconciliations", key, None, "ping").await;
            if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
                break;
            }
            if start.elapsed() > Duration::from_secs(15) {
                return Err(format!("VM {number} does not serve keyed requests"));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    println!(
        "Every VM serves keyed requests after {} ms.",
        start.elapsed().as_millis()
    );
    Ok(())
}

/// Sends one request to an open queue.
async fn open(address: std::net::SocketAddr, body: String) -> Result<caller::Response, caller::Error> {
    caller::send(address, Method::POST, "/v2/queues/open-desk/requests", &[], body).await
}

impl Demo {
    pub(super) async fn requests(&mut self) -> Result<(), String> {
        println!(
            "Requests: {KEYED} keyed, {OPEN} on an open queue, one that must not be repeated, one of version 1."
        );
        for number in 0..KEYED {
            let body = format!("reconciliation {number}");
            let address = self.cell.http(number % cell::VMS);
            let start = Instant::now();
            let answer = caller::request(address, "reconciliations", &self.key, None, body.clone()).await;
            let whole = answer.is_ok_and(|answer| answer.status == StatusCode::OK && answer.body == body);
            self.tally.count("keyed request", whole, start.elapsed());
        }
        for number in 0..OPEN {
            let body = format!("open {number}");
            let start = Instant::now();
            let answer = open(self.cell.http(number % cell::VMS), body.clone()).await;
            let whole = answer.is_ok_and(|answer| answer.status == StatusCode::OK && answer.body == body);
            self.tally.count("open request", whole, start.elapsed());
        }
        self.once().await;
        self.version_one().await;
        Ok(())
    }

    /// The same non-repeatable request at two VMs of different zones.
    async fn once(&mut self) {
        let body = "diploma check 1";
        let start = Instant::now();
        let id = Some("diploma-1");
        let first = caller::request(self.cell.http(0), "reconciliations", &self.key, id, body).await;
        let whole = first
            .as_ref()
            .is_ok_and(|answer| answer.status == StatusCode::OK && answer.body == body);
        self.tally.count("non-repeatable request", whole, start.elapsed());
        let again = caller::request(self.cell.http(5), "reconciliations", &self.key, id, body).await;
        let same = matches!((&first, &again), (Ok(first), Ok(again)) if first.body == again.body);
        self.tally.check(
            same,
            "a resent non-repeatable request gets the first answer at another VM",
        );
        let mut runs = self.fleet.runs_of(body.as_bytes());
        for number in 0..ONCE {
            let (id, body) = (format!("credit-{number}"), format!("credit {number}"));
            let start = Instant::now();
            let address = self.cell.http(number % cell::VMS);
            let answer =
                caller::request(address, "reconciliations", &self.key, Some(&id), body.clone()).await;
            let whole = answer.is_ok_and(|answer| answer.status == StatusCode::OK && answer.body == body);
            self.tally.count("non-repeatable request", whole, start.elapsed());
            runs = runs.max(self.fleet.runs_of(body.as_bytes()));
        }
        self.tally.doubled += u64::from(runs.saturating_sub(1));
        self.tally.check(runs == 1, "a non-repeatable request ran once");
    }

    async fn version_one(&mut self) {
        let body = serde_json::json!({ "key": self.key, "service": "reconciliations", "body": "old form" });
        let answer = caller::send(
            self.cell.http(1),
            Method::POST,
            "/v1/request",
            &[],
            body.to_string(),
        )
        .await;
        let served = answer.is_ok_and(|answer| {
            answer.status == StatusCode::OK
                && answer.header("deprecation").is_some()
                && answer.header("sunset").is_some()
        });
        self.tally.check(
            served,
            "the version-1 interface still answers and says that it is deprecated",
        );
    }

    /// A key is granted, used, withdrawn, and then refused everywhere.
    pub(super) async fn keys(&mut self) -> Result<(), String> {
        println!("Keys: one is granted and withdrawn.");
        let key = self.grant_key("dojos").await?;
        settle(&self.cell, &key).await?;
        let hash = sha2::Sha256::digest(key.as_bytes());
        let mut prefix = bronzespoke_language::encode_hex(&hash);
        prefix.truncate(16);
        self.cell
            .insist(2, &format!("withdraw key {prefix}"), COMMAND)
            .await?;
        let start = Instant::now();
        let mut refused = 0;
        for number in 0..cell::VMS {
            loop {
                let answer =
                    caller::request(self.cell.http(number), "reconciliations", &key, None, "x").await;
                if answer.is_ok_and(|answer| answer.status == StatusCode::UNAUTHORIZED) {
                    refused += 1;
                    break;
                }
                if start.elapsed() > WITHDRAWN {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        println!(
            "  The withdrawn key is refused by {refused} VMs after {} ms.",
            start.elapsed().as_millis()
        );
        self.tally.check(
            refused == cell::VMS,
            "a withdrawn key is refused everywhere within seconds",
        );
        Ok(())
    }

    /// A target is drained and gets nothing new after 3 s.
    pub(super) async fn drain(&mut self) -> Result<(), String> {
        println!("Drain: one target.");
        let (target, _, standin) = self.fleet.targets[0].clone();
        self.cell
            .insist(1, &format!("drain target {target}"), COMMAND)
            .await?;
        let start = Instant::now();
        while start.elapsed() < DEPARTED {
            self.burst(6).await;
        }
        let runs = standin.runs();
        for _ in 0..10 {
            self.burst(6).await;
        }
        let after = standin.runs() - runs;
        self.tally
            .check(after == 0, "a departing target receives no new work after 3 s");
        self.cell
            .insist(1, &format!("undrain target {target}"), COMMAND)
            .await?;
        Ok(())
    }

    /// One keyed request at each of some VMs.
    async fn burst(&mut self, count: usize) {
        for number in 0..count {
            let body = format!("burst {number}");
            let start = Instant::now();
            let address = self.cell.http(number % cell::VMS);
            let answer = caller::request(address, "reconciliations", &self.key, None, body.clone()).await;
            let whole = answer.is_ok_and(|answer| answer.status == StatusCode::OK && answer.body == body);
            self.tally.count("keyed request", whole, start.elapsed());
        }
    }

    /// Two operators change the configuration from the same version; one wins, and it is in force everywhere.
    pub(super) async fn configuration(&mut self) -> Result<(), String> {
        println!("Configuration: two operators start from the same version.");
        let one = self.cell.execute(0, "set config retry_percent=11 expect 0");
        let other = self.cell.execute(5, "set config retry_percent=12 expect 0");
        let (one, other) = tokio::join!(one, other);
        let conflict = |answer: &answer::Answer| matches!(answer, answer::Answer::Error(error) if error.code == answer::Code::Conflict);
        let accepted = |answer: &answer::Answer| matches!(answer, answer::Answer::Text(_));
        let one_wins = (accepted(&one) && conflict(&other)) || (accepted(&other) && conflict(&one));
        if !one_wins {
            println!("  {one:?}\n  {other:?}");
        }
        self.tally.check(
            one_wins,
            "of two changes from the same version exactly one is accepted",
        );
        let start = Instant::now();
        let mut applied = false;
        while !applied && start.elapsed() < IN_FORCE {
            let events = self.cell.events();
            let mut processes: Vec<_> = events
                .iter()
                .filter(|event| {
                    matches!(
                        event.kind,
                        bronzespoke_model::event::Kind::ConfigApplied { version: 1 }
                    )
                })
                .map(|event| event.process.clone())
                .collect();
            processes.sort();
            processes.dedup();
            applied = processes.len() == cell::VMS;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        println!(
            "  The configuration is in force everywhere after {} ms.",
            start.elapsed().as_millis()
        );
        self.tally.check(
            applied,
            "an accepted configuration is in force everywhere within 11 s",
        );
        Ok(())
    }

    pub(super) async fn open_request(&mut self, number: usize) -> bool {
        let answer = open(self.cell.http(number), String::from("open during a partition")).await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    }
}
