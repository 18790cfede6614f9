//! Demo steps for requests, keys, drains and configuration.

use std::time::{Duration, Instant};

use bronzespoke_language::answer;
use bronzespoke_standin::caller;
use http::{Method, StatusCode};
use sha2::Digest;

use crate::demo::{COMMAND_TIMEOUT, Demo, cell};

/// Number of keyed requests.
const KEYED_REQUESTS: usize = 60;
/// Number of requests to the open queue.
const OPEN_REQUESTS: usize = 20;
/// Number of non-repeatable requests, in addition to the one that is resent.
const NON_REPEATABLE_REQUESTS: usize = 30;
/// Maximum time until a withdrawn key is refused: the freshness lease of 3 s, 2% clock drift and one request.
const WITHDRAWAL_LIMIT: Duration = Duration::from_millis(3_500);
/// Time after which a departing target must receive no new requests.
const DEPARTURE_LIMIT: Duration = Duration::from_secs(3);
/// Maximum time until an accepted configuration is in force on all VMs.
const CONFIG_LIMIT: Duration = Duration::from_secs(11);

/// Waits until all VMs serve keyed requests with `key`.
pub async fn wait_until_serving(cell: &cell::Cell, key: &str) -> Result<(), String> {
    let start = Instant::now();
    for number in 0..cell::VMS {
        loop {
            let response = caller::request(cell.http(number), "reconciliations", key, None, "ping").await;
            if response.is_ok_and(|response| response.status == StatusCode::OK) {
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

/// Sends one request to the open queue.
async fn send_open(address: std::net::SocketAddr, body: String) -> Result<caller::Response, caller::Error> {
    caller::send(address, Method::POST, "/v2/queues/open-desk/requests", &[], body).await
}

impl Demo {
    pub(super) async fn requests(&mut self) -> Result<(), String> {
        println!(
            "Requests: {KEYED_REQUESTS} keyed, {OPEN_REQUESTS} on an open queue, one that must not be repeated, one of version 1."
        );
        for number in 0..KEYED_REQUESTS {
            let body = format!("reconciliation {number}");
            let address = self.cell.http(number % cell::VMS);
            let start = Instant::now();
            let response = caller::request(address, "reconciliations", &self.key, None, body.clone()).await;
            let complete =
                response.is_ok_and(|response| response.status == StatusCode::OK && response.body == body);
            self.counters.record("keyed request", complete, start.elapsed());
        }
        for number in 0..OPEN_REQUESTS {
            let body = format!("open {number}");
            let start = Instant::now();
            let response = send_open(self.cell.http(number % cell::VMS), body.clone()).await;
            let complete =
                response.is_ok_and(|response| response.status == StatusCode::OK && response.body == body);
            self.counters.record("open request", complete, start.elapsed());
        }
        self.non_repeatable_requests().await;
        self.version_one_request().await;
        Ok(())
    }

    /// Sends the same non-repeatable request at two VMs of different zones, then further ones once each.
    async fn non_repeatable_requests(&mut self) {
        let body = "diploma check 1";
        let start = Instant::now();
        let id = Some("diploma-1");
        let first = caller::request(self.cell.http(0), "reconciliations", &self.key, id, body).await;
        let complete = first
            .as_ref()
            .is_ok_and(|response| response.status == StatusCode::OK && response.body == body);
        self.counters
            .record("non-repeatable request", complete, start.elapsed());
        let again = caller::request(self.cell.http(5), "reconciliations", &self.key, id, body).await;
        let same = matches!((&first, &again), (Ok(first), Ok(again)) if first.body == again.body);
        self.counters.check(
            same,
            "a resent non-repeatable request gets the first answer at another VM",
        );
        let mut runs = self.fleet.runs_of(body.as_bytes());
        for number in 0..NON_REPEATABLE_REQUESTS {
            let (id, body) = (format!("credit-{number}"), format!("credit {number}"));
            let start = Instant::now();
            let address = self.cell.http(number % cell::VMS);
            let response =
                caller::request(address, "reconciliations", &self.key, Some(&id), body.clone()).await;
            let complete =
                response.is_ok_and(|response| response.status == StatusCode::OK && response.body == body);
            self.counters
                .record("non-repeatable request", complete, start.elapsed());
            runs = runs.max(self.fleet.runs_of(body.as_bytes()));
        }
        self.counters.doubled += u64::from(runs.saturating_sub(1));
        self.counters
            .check(runs == 1, "a non-repeatable request ran once");
    }

    async fn version_one_request(&mut self) {
        let body = serde_json::json!({ "key": self.key, "service": "reconciliations", "body": "old form" });
        let response = caller::send(
            self.cell.http(1),
            Method::POST,
            "/v1/request",
            &[],
            body.to_string(),
        )
        .await;
        let served = response.is_ok_and(|response| {
            response.status == StatusCode::OK
                && response.header("deprecation").is_some()
                && response.header("sunset").is_some()
        });
        self.counters.check(
            served,
            "the version-1 interface still answers and says that it is deprecated",
        );
    }

    /// Grants, uses and withdraws a key, and checks that all VMs then refuse it.
    pub(super) async fn withdraw_key(&mut self) -> Result<(), String> {
        println!("Keys: one is granted and withdrawn.");
        let key = self.grant_key("dojos").await?;
        wait_until_serving(&self.cell, &key).await?;
        let hash = sha2::Sha256::digest(key.as_bytes());
        let mut prefix = bronzespoke_language::encode_hex(&hash);
        prefix.truncate(16);
        self.cell
            .execute_until_accepted(2, &format!("withdraw key {prefix}"), COMMAND_TIMEOUT)
            .await?;
        let start = Instant::now();
        let mut refused = 0;
        for number in 0..cell::VMS {
            loop {
                let response =
                    caller::request(self.cell.http(number), "reconciliations", &key, None, "x").await;
                if response.is_ok_and(|response| response.status == StatusCode::UNAUTHORIZED) {
                    refused += 1;
                    break;
                }
                if start.elapsed() > WITHDRAWAL_LIMIT {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        println!(
            "  The withdrawn key is refused by {refused} VMs after {} ms.",
            start.elapsed().as_millis()
        );
        self.counters.check(
            refused == cell::VMS,
            "a withdrawn key is refused everywhere within seconds",
        );
        Ok(())
    }

    /// Drains a target and checks that it receives no new requests after [`DEPARTURE_LIMIT`].
    pub(super) async fn drain_target(&mut self) -> Result<(), String> {
        println!("Drain: one target.");
        let (target, _, standin) = self.fleet.targets[0].clone();
        self.cell
            .execute_until_accepted(1, &format!("drain target {target}"), COMMAND_TIMEOUT)
            .await?;
        let start = Instant::now();
        while start.elapsed() < DEPARTURE_LIMIT {
            self.send_burst(6).await;
        }
        let runs = standin.runs();
        for _ in 0..10 {
            self.send_burst(6).await;
        }
        let after = standin.runs() - runs;
        self.counters
            .check(after == 0, "a departing target receives no new work after 3 s");
        self.cell
            .execute_until_accepted(1, &format!("undrain target {target}"), COMMAND_TIMEOUT)
            .await?;
        Ok(())
    }

    /// Sends `count` keyed requests, spread over the VMs.
    async fn send_burst(&mut self, count: usize) {
        for number in 0..count {
            let body = format!("burst {number}");
            let start = Instant::now();
            let address = self.cell.http(number % cell::VMS);
            let response = caller::request(address, "reconciliations", &self.key, None, body.clone()).await;
            let complete =
                response.is_ok_and(|response| response.status == StatusCode::OK && response.body == body);
            self.counters.record("keyed request", complete, start.elapsed());
        }
    }

    /// Changes the configuration twice from the same version. Checks that exactly one change is accepted, and that it
    /// comes into force on all VMs.
    pub(super) async fn change_configuration(&mut self) -> Result<(), String> {
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
        self.counters.check(
            one_wins,
            "of two changes from the same version exactly one is accepted",
        );
        let start = Instant::now();
        let mut applied = false;
        while !applied && start.elapsed() < CONFIG_LIMIT {
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
        self.counters.check(
            applied,
            "an accepted configuration is in force everywhere within 11 s",
        );
        Ok(())
    }

    /// Sends one request to the open queue at a VM. Returns whether it was served.
    pub(super) async fn open_request(&mut self, number: usize) -> bool {
        let response = send_open(self.cell.http(number), String::from("open during a partition")).await;
        response.is_ok_and(|response| response.status == StatusCode::OK)
    }
}
