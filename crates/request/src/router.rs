//! Target selection.
//!
//! Several entry VMs share the slots of a target without a central lock. Each VM may always use the slots reserved
//! for it, and borrows more while the target's reported load leaves some free. Among the nearest targets with free
//! slots, the less loaded of two random choices is picked. The lists of targets with free slots are updated on every
//! change, so that a pick costs the same with 50 targets as with 5,000.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use bronzespoke_model::{id, target, vm};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{allotment, attempt, ejection, rules};

/// Maximum number of targets that one VM keeps; further ones are not used.
pub const MAX_TARGETS: usize = 16_384;
/// Requests beyond its slots that a target may have by a VM's estimate, so that it does not idle for a round trip.
const HEADROOM: u32 = 1;
/// Burst size of the token bucket for traffic to other regions, in seconds of its rate.
const REMOTE_BURST_SECONDS: f64 = 1.0;
/// Number of distance classes: zone, region, remote.
const CLASSES: usize = 3;

type Index = u32;

/// Source of the load estimate of targets; the policy measurements compare them.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum LoadSource {
    /// No estimate: only the slots reserved for this VM are used.
    Reserved,
    /// The load that is spread by gossip; slots beyond the reserved ones are used while it shows some free.
    Gossip,
    /// As [`LoadSource::Gossip`], updated with the load that targets report in their responses.
    #[default]
    Response,
}

/// Settings of a router.
#[derive(Debug, Clone)]
pub struct Config {
    /// This VM and its location.
    pub own: allotment::Entry,
    /// Rate limit of traffic to other regions, in bytes per second.
    pub remote_bytes_per_second: u32,
    /// Seed of the random choices, so that a run can be repeated.
    pub seed: u64,
    /// Source of the load estimate.
    pub load_source: LoadSource,
    /// Rules in force; tests switch single ones off.
    pub rules: rules::Rules,
}

/// A change of the router's inputs.
#[derive(Debug, Clone)]
pub enum Update<'a> {
    /// Every usable target with its service; targets that are not listed are removed.
    Targets(&'a [(id::ServiceId, target::Status)]),
    /// The entry VMs, among which connections and slots are divided.
    Entries(Vec<allotment::Entry>),
    /// Rate limit of traffic to other regions, in bytes per second.
    RemoteBudget(u32),
}

/// A request to route.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Service that the request is sent to.
    pub service: id::ServiceId,
    /// Targets of earlier attempts, which are not picked again.
    pub exclude: &'a [id::TargetId],
    /// Bytes charged to the budget if the request goes to another region.
    pub bytes: u32,
}

/// Result of [`Router::pick`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// The request goes to this target; [`Router::finish`] has to be called at its end.
    Target(id::TargetId),
    /// No target of the service has a free slot that may be used.
    Full,
    /// The service has no usable target.
    NoTarget,
}

#[derive(Debug)]
struct Target {
    status: target::Status,
    service: id::ServiceId,
    distance: usize,
    reserved: u32,
    connections: u32,
    own_in_flight: u32,
    /// Requests in flight from other VMs, as last reported.
    others_in_flight: u32,
    health: ejection::Health,
    /// Position in the list of targets with free slots.
    position: Option<u32>,
    free: u32,
    present: bool,
}

#[derive(Debug, Default)]
struct Service {
    available: [Vec<Index>; CLASSES],
    free: [u32; CLASSES],
    targets: u32,
    ejected: u32,
}

/// Router of one entry VM.
#[derive(Debug)]
pub struct Router {
    config: Config,
    entries: Vec<allotment::Entry>,
    rng: SmallRng,
    targets: Vec<Target>,
    free_indices: Vec<Index>,
    by_id: HashMap<id::TargetId, Index>,
    services: HashMap<id::ServiceId, Service>,
    ejected: BinaryHeap<Reverse<(Duration, Index, id::TargetId)>>,
    remote_tokens: f64,
    remote_refilled_at: Duration,
    remote_bytes: u64,
}

impl Router {
    /// Creates a router without targets.
    pub fn new(config: Config) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(config.seed),
            remote_tokens: f64::from(config.remote_bytes_per_second) * REMOTE_BURST_SECONDS,
            entries: vec![config.own],
            targets: Vec::new(),
            free_indices: Vec::new(),
            by_id: HashMap::new(),
            services: HashMap::new(),
            ejected: BinaryHeap::new(),
            remote_refilled_at: Duration::ZERO,
            remote_bytes: 0,
            config,
        }
    }

    /// Applies a change of targets, entry VMs or limits.
    pub fn apply(&mut self, now: Duration, update: Update<'_>) {
        self.readmit(now);
        match update {
            Update::Targets(targets) => self.replace_targets(targets),
            Update::Entries(entries) if entries == self.entries => {}
            Update::Entries(entries) => {
                self.entries = entries;
                for index in 0..self.targets.len() as Index {
                    self.update_allotments(index);
                    self.update_free_slots(index);
                }
            }
            Update::RemoteBudget(bytes) => self.config.remote_bytes_per_second = bytes,
        }
    }

    /// Picks a target from the nearest class with free slots: the less loaded of two random choices.
    pub fn pick(&mut self, now: Duration, request: &Request<'_>) -> Choice {
        self.readmit(now);
        let Some(service) = self.services.get(&request.service) else {
            return Choice::NoTarget;
        };
        if service.targets == 0 {
            return Choice::NoTarget;
        }
        for class in 0..CLASSES {
            if class == vm::Distance::Remote as usize && !self.refill_remote_budget(now) {
                continue;
            }
            if let Some(index) = self.pick_in(class, request) {
                if class == vm::Distance::Remote as usize {
                    self.remote_tokens -= f64::from(request.bytes);
                    self.remote_bytes += u64::from(request.bytes);
                }
                self.targets[index as usize].own_in_flight += 1;
                self.update_free_slots(index);
                return Choice::Target(self.targets[index as usize].status.announcement.target);
            }
        }
        Choice::Full
    }

    /// Records the outcome of an attempt and frees its slot.
    pub fn finish(&mut self, now: Duration, target: id::TargetId, outcome: attempt::Outcome) {
        self.readmit(now);
        let Some(index) = self.by_id.get(&target).copied() else {
            return;
        };
        let entry = &mut self.targets[index as usize];
        entry.own_in_flight = entry.own_in_flight.saturating_sub(1);
        match outcome {
            attempt::Outcome::Success { load, .. } => {
                entry.health.record_success();
                self.record_load(index, load);
            }
            attempt::Outcome::Busy { load } => {
                // A rejection without a reported load still means that every slot is in use.
                let full = entry.status.announcement.slots;
                self.record_load(index, Some(load.unwrap_or(full)));
            }
            attempt::Outcome::Failed | attempt::Outcome::TimedOut | attempt::Outcome::LostHedge => {
                if entry.health.record_failure() {
                    self.eject(now, index);
                }
            }
            attempt::Outcome::Abandoned => {}
        }
        self.update_free_slots(index);
        self.remove_if_unused(index);
    }

    /// Returns how many requests may be sent now to the targets of a service.
    pub fn free_slots(&mut self, now: Duration, service: id::ServiceId) -> u32 {
        self.readmit(now);
        let remote = self.refill_remote_budget(now);
        self.services.get(&service).map_or(0, |state| {
            state.free[0] + state.free[1] + if remote { state.free[2] } else { 0 }
        })
    }

    /// Returns the number of this VM's requests in flight to each target.
    pub fn loads(&self) -> impl Iterator<Item = (id::TargetId, u32)> + '_ {
        self.targets
            .iter()
            .filter(|entry| entry.present)
            .map(|entry| (entry.status.announcement.target, entry.own_in_flight))
    }

    /// Returns the address of a target, this VM's allotment of its connections, and its distance.
    pub fn endpoint(&self, target: id::TargetId) -> Option<(std::net::SocketAddr, u32, vm::Distance)> {
        let entry = &self.targets[*self.by_id.get(&target)? as usize];
        let distance = match entry.distance {
            0 => vm::Distance::Zone,
            1 => vm::Distance::Region,
            _ => vm::Distance::Remote,
        };
        Some((entry.status.announcement.address, entry.connections, distance))
    }

    /// Returns the bytes charged to the budget for other regions since the start.
    pub const fn remote_bytes(&self) -> u64 {
        self.remote_bytes
    }

    /// Charges the bytes of a response from another region.
    pub fn charge_remote(&mut self, bytes: u64) {
        self.remote_bytes += bytes;
        self.remote_tokens -= bytes as f64;
    }

    /// Returns the number of targets of a service and how many of them are ejected.
    pub fn target_counts(&self, service: id::ServiceId) -> (u32, u32) {
        self.services
            .get(&service)
            .map_or((0, 0), |state| (state.targets, state.ejected))
    }

    /// Checks the lists and counters against the state of each target.
    pub fn verify(&self) -> Result<(), String> {
        for (service, state) in &self.services {
            for class in 0..CLASSES {
                let free: u32 = state.available[class]
                    .iter()
                    .map(|index| self.targets[*index as usize].free)
                    .sum();
                if free != state.free[class] {
                    return Err(format!(
                        "service {service} counts {} free slots, but its targets have {free}",
                        state.free[class]
                    ));
                }
            }
            if self.config.rules.ejection_bound && state.ejected > state.targets / 2 {
                return Err(format!(
                    "service {service}: {} of {} targets are ejected",
                    state.ejected, state.targets
                ));
            }
        }
        for entry in &self.targets {
            let target = entry.status.announcement.target;
            if self.config.rules.connection_allotment
                && entry.own_in_flight >= entry.connections
                && entry.free > 0
            {
                return Err(format!(
                    "target {target} has free slots with {} of {} connections in use",
                    entry.own_in_flight, entry.connections
                ));
            }
            if entry.status.departing && entry.free > 0 && self.config.rules.skip_departing {
                return Err(format!("target {target} is departing but has free slots"));
            }
        }
        Ok(())
    }

    fn replace_targets(&mut self, targets: &[(id::ServiceId, target::Status)]) {
        for entry in &mut self.targets {
            entry.present = false;
        }
        for (service, status) in targets.iter().take(MAX_TARGETS) {
            self.upsert(*service, status);
        }
        for index in 0..self.targets.len() as Index {
            self.update_free_slots(index);
            self.remove_if_unused(index);
        }
    }

    fn upsert(&mut self, service: id::ServiceId, status: &target::Status) {
        let known = self.by_id.get(&status.announcement.target).copied();
        // A target with another service, place or incarnation is a new target, without the state of the old one.
        let same = known.filter(|index| {
            let entry = &self.targets[*index as usize];
            entry.service == service
                && entry.status.place == status.place
                && entry.status.announcement.incarnation == status.announcement.incarnation
        });
        if let Some(index) = same {
            let entry = &mut self.targets[index as usize];
            entry.present = true;
            if entry.status.in_flight != status.in_flight {
                entry.others_in_flight = status.in_flight.saturating_sub(entry.own_in_flight);
            }
            let capacity =
                |status: &target::Status| (status.announcement.slots, status.announcement.connections);
            let resized = capacity(&entry.status) != capacity(status);
            if entry.status != *status {
                entry.status.clone_from(status);
            }
            // Computing the allotments takes a pass over the directory, so it is only done when they can change.
            if resized {
                self.update_allotments(index);
            }
            return;
        }
        if let Some(index) = known {
            self.remove(index);
        }
        let entry = Target {
            status: status.clone(),
            service,
            distance: status.place.distance(&self.config.own.place) as usize,
            reserved: 0,
            connections: 0,
            own_in_flight: 0,
            others_in_flight: status.in_flight,
            health: ejection::Health::default(),
            position: None,
            free: 0,
            present: true,
        };
        let index = if let Some(index) = self.free_indices.pop() {
            self.targets[index as usize] = entry;
            index
        } else {
            self.targets.push(entry);
            (self.targets.len() - 1) as Index
        };
        self.by_id.insert(status.announcement.target, index);
        self.services.entry(service).or_default().targets += 1;
        self.update_allotments(index);
    }

    fn update_allotments(&mut self, index: Index) {
        let entry = &mut self.targets[index as usize];
        let place = entry.status.place;
        let announcement = &entry.status.announcement;
        entry.connections =
            allotment::connections(announcement.connections, place, self.config.own, &self.entries);
        entry.reserved = allotment::slots(announcement.slots, place, self.config.own, &self.entries);
    }

    fn compute_free_slots(&self, entry: &Target) -> u32 {
        if !entry.present || (entry.status.departing && self.config.rules.skip_departing) {
            return 0;
        }
        let slots = entry.status.announcement.slots;
        // Only VMs with reserved slots, which are the nearest, send requests beyond the target's slots; from other VMs
        // these would take longer links.
        let headroom = if entry.reserved > 0 { HEADROOM } else { 0 };
        let borrowed = match self.config.load_source {
            LoadSource::Reserved => entry.reserved + headroom,
            LoadSource::Gossip | LoadSource::Response => {
                (slots + headroom).saturating_sub(entry.others_in_flight)
            }
        };
        let reserved = entry.reserved;
        let mut max = entry.health.allowed(reserved.max(borrowed));
        if self.config.rules.connection_allotment {
            max = max.min(entry.connections);
        }
        max.saturating_sub(entry.own_in_flight)
    }

    fn update_free_slots(&mut self, index: Index) {
        let free = self.compute_free_slots(&self.targets[index as usize]);
        let entry = &mut self.targets[index as usize];
        let Some(service) = self.services.get_mut(&entry.service) else {
            return;
        };
        let class = entry.distance;
        service.free[class] = service.free[class] - entry.free + free;
        entry.free = free;
        let list = &mut service.available[class];
        match (entry.position, free > 0) {
            (None, true) => {
                entry.position = Some(list.len() as u32);
                list.push(index);
            }
            (Some(position), false) => {
                entry.position = None;
                list.swap_remove(position as usize);
                if let Some(moved) = list.get(position as usize).copied() {
                    self.targets[moved as usize].position = Some(position);
                }
            }
            _ => {}
        }
    }

    fn pick_in(&mut self, class: usize, request: &Request<'_>) -> Option<Index> {
        let available = &self.services.get(&request.service)?.available[class];
        if available.is_empty() {
            return None;
        }
        let first = available[self.rng.random_range(0..available.len())];
        let second = available[self.rng.random_range(0..available.len())];
        let usable = |index: Index| {
            !request
                .exclude
                .contains(&self.targets[index as usize].status.announcement.target)
        };
        match (usable(first), usable(second)) {
            (true, true) => Some(if self.load(first) <= self.load(second) {
                first
            } else {
                second
            }),
            (true, false) => Some(first),
            (false, true) => Some(second),
            // Only a retry excludes targets, so this linear scan is rare.
            (false, false) => available.iter().copied().find(|index| usable(*index)),
        }
    }

    /// Estimated requests per slot, in units of 1/1024.
    fn load(&self, index: Index) -> u64 {
        let entry = &self.targets[index as usize];
        let slots = u64::from(entry.status.announcement.slots.max(1));
        u64::from(entry.own_in_flight + entry.others_in_flight) * 1024 / slots
    }

    fn record_load(&mut self, index: Index, load: Option<u32>) {
        if self.config.load_source != LoadSource::Response {
            return;
        }
        if let Some(load) = load {
            let entry = &mut self.targets[index as usize];
            entry.others_in_flight = load.saturating_sub(entry.own_in_flight);
        }
    }

    /// Refills the token bucket for other regions and returns whether it holds any tokens.
    ///
    /// The last request may overdraw the bucket, which then has to become positive again before the next one. The
    /// slots that [`Router::free_slots`] reports can therefore always be used.
    fn refill_remote_budget(&mut self, now: Duration) -> bool {
        if !self.config.rules.remote_budget {
            return true;
        }
        let rate = f64::from(self.config.remote_bytes_per_second);
        let earned = now.saturating_sub(self.remote_refilled_at).as_secs_f64() * rate;
        self.remote_refilled_at = self.remote_refilled_at.max(now);
        self.remote_tokens = (self.remote_tokens + earned).min(rate * REMOTE_BURST_SECONDS);
        self.remote_tokens > 0.0
    }

    fn eject(&mut self, now: Duration, index: Index) {
        let entry = &mut self.targets[index as usize];
        let service = self.services.entry(entry.service).or_default();
        if self.config.rules.ejection_bound && (service.ejected + 1) > service.targets / 2 {
            return;
        }
        service.ejected += 1;
        let until = entry.health.eject(now);
        let target = entry.status.announcement.target;
        self.ejected.push(Reverse((until, index, target)));
    }

    fn readmit(&mut self, now: Duration) {
        while let Some(Reverse((until, index, target))) = self.ejected.peek().copied() {
            if until > now {
                return;
            }
            self.ejected.pop();
            let entry = &mut self.targets[index as usize];
            if entry.status.announcement.target != target || entry.health.ejected_until() != Some(until) {
                continue;
            }
            entry.health.readmit();
            if let Some(service) = self.services.get_mut(&entry.service) {
                service.ejected = service.ejected.saturating_sub(1);
            }
            self.update_free_slots(index);
        }
    }

    fn remove_if_unused(&mut self, index: Index) {
        let entry = &self.targets[index as usize];
        let target = entry.status.announcement.target;
        if !entry.present && entry.own_in_flight == 0 && self.by_id.get(&target) == Some(&index) {
            self.remove(index);
        }
    }

    fn remove(&mut self, index: Index) {
        self.targets[index as usize].present = false;
        self.update_free_slots(index);
        let entry = &mut self.targets[index as usize];
        let ejected = entry.health.is_ejected();
        entry.health = ejection::Health::default();
        self.by_id.remove(&entry.status.announcement.target);
        if let Some(service) = self.services.get_mut(&entry.service) {
            service.targets -= 1;
            service.ejected -= u32::from(ejected);
        }
        self.free_indices.push(index);
        self.readmit_excess(index);
    }

    /// Readmits targets after one was removed, so that never more than half of the targets are ejected.
    fn readmit_excess(&mut self, removed: Index) {
        let service = self.targets[removed as usize].service;
        while self.config.rules.ejection_bound {
            let (targets, ejected) = self.target_counts(service);
            if ejected <= targets / 2 {
                return;
            }
            let Some(index) = self
                .targets
                .iter()
                .position(|entry| entry.service == service && entry.health.is_ejected())
            else {
                return;
            };
            self.targets[index].health.readmit();
            if let Some(state) = self.services.get_mut(&service) {
                state.ejected -= 1;
            }
            self.update_free_slots(index as Index);
        }
    }
}
