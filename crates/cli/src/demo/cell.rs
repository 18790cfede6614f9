//! A cell of six daemons in one process, in two regions and three availability zones.

use std::{
    collections::HashSet,
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant},
};

use bronzespoke_daemon::{daemon, settings};
use bronzespoke_language::answer;
use bronzespoke_model::{event, id, vm};
use bronzespoke_rpc::OperatorClient;
use jsonrpsee::http_client::HttpClientBuilder;

/// Number of VMs in the cell.
pub const VMS: usize = 6;
/// Availability zones with their regions: two zones in region 1 and one in region 2.
pub const ZONES: [vm::Place; 3] = [
    vm::Place { region: 1, zone: 1 },
    vm::Place { region: 1, zone: 2 },
    vm::Place { region: 2, zone: 3 },
];

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const RPC_TIMEOUT: Duration = Duration::from_secs(10);

/// Cell with two VMs in each zone, the first of which has a data folder.
#[derive(Debug)]
pub struct Cell {
    daemons: Vec<Option<daemon::Daemon>>,
    settings: Vec<settings::Settings>,
    vms: Vec<vm::Vm>,
    cut: Option<id::AvailabilityZoneId>,
}

impl Cell {
    /// Starts the daemons, with data folders below `folder`.
    pub fn start(folder: &std::path::Path, seed: u64) -> Result<Self, daemon::Error> {
        let mut all = Vec::new();
        let mut listeners = Vec::new();
        for number in 0..VMS {
            let mut settings = vm_settings(number, folder, seed);
            listeners.push(daemon::Listeners::bind(&mut settings)?);
            all.push(settings);
        }
        let seeds: Vec<_> = all.iter().map(|settings| settings.peer).collect();
        let mut cell = Self {
            daemons: Vec::new(),
            settings: Vec::new(),
            vms: Vec::new(),
            cut: None,
        };
        for (mut settings, listeners) in all.into_iter().zip(listeners) {
            settings.seeds = seeds
                .iter()
                .copied()
                .filter(|seed| *seed != settings.peer)
                .collect();
            let daemon = daemon::Daemon::start(settings.clone(), listeners)?;
            cell.vms.push(daemon.vm().clone());
            cell.daemons.push(Some(daemon));
            cell.settings.push(settings);
        }
        Ok(cell)
    }

    /// Returns the HTTP address of a VM.
    pub fn http(&self, number: usize) -> SocketAddr {
        self.settings[number].http
    }

    /// Returns the HTTP addresses of the VMs in a zone.
    pub fn entries(&self, zone: id::AvailabilityZoneId) -> Vec<SocketAddr> {
        let in_zone = self
            .settings
            .iter()
            .filter(|settings| settings.place.zone == zone);
        in_zone.map(|settings| settings.http).collect()
    }

    /// Returns the running daemons.
    pub fn running(&self) -> impl Iterator<Item = &daemon::Daemon> {
        self.daemons.iter().flatten()
    }

    /// Returns whether all running VMs are ready for work.
    pub fn is_ready(&self) -> bool {
        self.running().all(daemon::Daemon::is_ready)
    }

    /// Executes an operator's statement at a VM, once. A connection failure becomes an error answer.
    pub async fn execute(&self, number: usize, line: &str) -> answer::Answer {
        let url = format!("http://{}", self.settings[number].rpc);
        let failed = |error: &dyn std::fmt::Display| {
            answer::Answer::error(answer::Code::Unavailable, error.to_string())
        };
        match HttpClientBuilder::default()
            .request_timeout(RPC_TIMEOUT)
            .build(url)
        {
            Ok(client) => client
                .execute(String::from(line), None)
                .await
                .unwrap_or_else(|error| failed(&error)),
            Err(error) => failed(&error),
        }
    }

    /// Executes a statement, and retries it on retryable errors until `limit` has passed.
    pub async fn execute_until_accepted(
        &self,
        number: usize,
        line: &str,
        limit: Duration,
    ) -> Result<answer::Answer, String> {
        let start = Instant::now();
        loop {
            let answer = self.execute(number, line).await;
            match &answer {
                answer::Answer::Error(error) if error.code.is_retryable() && start.elapsed() < limit => {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
                answer::Answer::Error(error) => return Err(format!("{line}: {}", error.message)),
                _ => return Ok(answer),
            }
        }
    }

    /// Silently drops all traffic between a zone and the others.
    pub fn cut(&mut self, zone: id::AvailabilityZoneId) {
        self.cut = Some(zone);
        self.apply_cut();
    }

    /// Ends the partition.
    pub fn heal(&mut self) {
        self.cut = None;
        self.apply_cut();
    }

    fn apply_cut(&self) {
        for (number, daemon) in self.daemons.iter().enumerate() {
            let Some(daemon) = daemon else {
                continue;
            };
            let here = self.settings[number].place.zone;
            let across =
                |there: id::AvailabilityZoneId| self.cut.is_some_and(|cut| (cut == here) != (cut == there));
            let peers: HashSet<SocketAddr> = self
                .settings
                .iter()
                .filter(|settings| across(settings.place.zone))
                .map(|settings| settings.peer)
                .collect();
            daemon.fault().set(peers);
        }
    }

    /// Stops a VM abruptly, as if it had crashed.
    pub fn kill(&mut self, number: usize) {
        if let Some(daemon) = self.daemons[number].take() {
            daemon.kill();
        }
    }

    /// Stops a VM gracefully.
    pub fn shut_down(&mut self, number: usize) {
        if let Some(daemon) = self.daemons[number].take() {
            daemon.shut_down();
        }
    }

    /// Restarts a stopped VM at its previous addresses.
    pub fn restart(&mut self, number: usize) -> Result<(), daemon::Error> {
        let mut settings = self.settings[number].clone();
        let listeners = daemon::Listeners::bind(&mut settings)?;
        let daemon = daemon::Daemon::start(settings, listeners)?;
        self.vms[number] = daemon.vm().clone();
        self.daemons[number] = Some(daemon);
        self.apply_cut();
        Ok(())
    }

    /// Returns the events of all running processes, in order of their stamps.
    pub fn events(&self) -> Vec<event::Event> {
        let mut events: Vec<_> = self
            .running()
            .flat_map(|daemon| daemon.ring().read(0, usize::MAX).events)
            .collect();
        events.sort_by(|left, right| {
            (left.stamp, &left.process, left.sequence).cmp(&(right.stamp, &right.process, right.sequence))
        });
        events
    }

    /// Returns the number of bytes that the running daemons have sent to each other.
    pub fn sent_bytes(&self) -> u64 {
        let sent = |daemon: &daemon::Daemon| daemon.traffic().sent.load(std::sync::atomic::Ordering::Relaxed);
        self.running().map(sent).sum()
    }

    /// Stops all VMs abruptly.
    pub fn stop(&mut self) {
        for number in 0..self.daemons.len() {
            self.kill(number);
        }
    }
}

fn vm_settings(number: usize, folder: &std::path::Path, seed: u64) -> settings::Settings {
    let place = ZONES[number / 2];
    let letter = ["a", "b", "c"][number / 2];
    let durable = number.is_multiple_of(2);
    let name = format!("{letter}-{}", number % 2 + 1);
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    settings::Settings {
        data: durable.then(|| PathBuf::from(folder).join(&name)),
        name,
        place,
        peer: loopback,
        http: loopback,
        rpc: loopback,
        seeds: Vec::new(),
        found: number == 0,
        random_seed: seed.wrapping_add(number as u64),
        traffic_threads: 1,
        drain_notice: Duration::from_millis(500),
        log_level: log::LevelFilter::Warn,
    }
}

/// Waits until `condition` holds. Returns the elapsed time, or `None` after `limit`.
pub async fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> Option<Duration> {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() >= limit {
            return None;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Some(start.elapsed())
}
