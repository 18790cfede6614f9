//! Which target gets a request.
//!
//! Slots are shared by several entry VMs without a central lock. Each VM may always use the slots lent to it, and
//! borrows others while the target's reported load shows room. Among the nearest targets with room it compares two
//! at random. Lists of targets with room are kept up to date by every change, so that a pick costs the same at 50
//! targets and at 5,000.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use bronzespoke_model::{id, target, vm};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{allotment, attempt, ejection, rules};

/// Most targets that one VM keeps; further ones are not used.
pub const MAX_TARGETS: usize = 16_384;
/// Requests above its slots that a target may have by a VM's estimate, so that the target does not idle for a round trip.
const HEADROOM: u32 = 1;
/// Seconds of the budget for other regions that may be saved up.
const REMOTE_BURST_SECONDS: f64 = 1.0;
/// Classes of distance.
const CLASSES: usize = 3;

type Index = u32;

/// How the load of a target is estimated; the policy measurements compare them.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum LoadSource {
    /// Lent slots only.
    Reserved,
    /// Lent slots, and more while the gossiped load shows room.
    Gossip,
    /// As [`LoadSource::Gossip`], with the load that targets put on their answers.
    #[default]
    Response,
}

/// Settings of a router.
#[derive(Debug, Clone)]
pub struct Config {
    /// This VM.
    pub own: allotment::Entry,
    /// Bytes per second that may go to other regions.
    pub remote_bytes_per_second: u32,
    /// Seed of the random choices.
    pub seed: u64,
    /// Load estimate.
    pub load_source: LoadSource,
    /// Rules.
    pub rules: rules::Rules,
}

/// News about targets.
#[derive(Debug, Clone)]
pub enum Update<'a> {
    /// All targets that may be used now, with the service that each answers for; others are forgotten.
    Targets(&'a [(id::ServiceId, target::Status)]),
    /// The entry VMs changed.
    Entries(Vec<allotment::Entry>),
    /// The budget for other regions changed.
    RemoteBudget(u32),
}

/// A request to route.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Service.
    pub service: id::ServiceId,
    /// Targets that were tried already.
    pub exclude: &'a [id::TargetId],
    /// Bytes that the request is expected to cost on a billed link.
    pub bytes: u32,
}

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// To this target; [`Router::finish`] has to follow.
    Target(id::TargetId),
    /// Every target is full now.
    Full,
    /// The service has no usable target.
    NoTarget,
}

#[derive(Debug)]
struct Target {
    status: target::Status,
    service: id::ServiceId,
    distance: usize,
    lent: u32,
    connections: u32,
    own: u32,
    /// Requests of other VMs, as last reported.
    others: u32,
    health: ejection::Health,
    /// Position in the list of targets with room.
    listed: Option<u32>,
    room: u32,
    present: bool,
}

#[derive(Debug, Default)]
struct Service {
    open: [Vec<Index>; CLASSES],
    room: [u32; CLASSES],
    targets: u32,
    ejected: u32,
}

/// Routing of one entry VM.
#[derive(Debug)]
pub struct Router {
    config: Config,
    entries: Vec<allotment::Entry>,
    random: SmallRng,
    targets: Vec<Target>,
    vacant: Vec<Index>,
    by_id: HashMap<id::TargetId, Index>,
    services: HashMap<id::ServiceId, Service>,
    ejected: BinaryHeap<Reverse<(Duration, Index, id::TargetId)>>,
    remote_tokens: f64,
    remote_at: Duration,
    remote_bytes: u64,
}

impl Router {
    /// Returns a router without targets.
    pub fn new(config: Config) -> Self {
        Self {
            random: SmallRng::seed_from_u64(config.seed),
            remote_tokens: f64::from(config.remote_bytes_per_second) * REMOTE_BURST_SECONDS,
            entries: vec![config.own],
            targets: Vec::new(),
            vacant: Vec::new(),
            by_id: HashMap::new(),
            services: HashMap::new(),
            ejected: BinaryHeap::new(),
            remote_at: Duration::ZERO,
            remote_bytes: 0,
            config,
        }
    }

    /// Takes in news.
    pub fn apply(&mut self, now: Duration, update: Update<'_>) {
        self.readmit(now);
        match update {
            Update::Targets(targets) => self.replace(targets),
            Update::Entries(entries) if entries == self.entries => {}
            Update::Entries(entries) => {
                self.entries = entries;
                for index in 0..self.targets.len() as Index {
                    self.set_parts(index);
                    self.refresh(index);
                }
            }
            Update::RemoteBudget(bytes) => self.config.remote_bytes_per_second = bytes,
        }
    }

    /// Picks a target: the nearest class with room, and the less loaded of two random ones in it.
    pub fn pick(&mut self, now: Duration, request: &Request<'_>) -> Choice {
        self.readmit(now);
        let Some(service) = self.services.get(&request.service) else {
            return Choice::NoTarget;
        };
        if service.targets == 0 {
            return Choice::NoTarget;
        }
        for class in 0..CLASSES {
            if class == vm::Distance::Remote as usize && !self.may_go_remote(now) {
                continue;
            }
            if let Some(index) = self.pick_in(class, request) {
                if class == vm::Distance::Remote as usize {
                    self.remote_tokens -= f64::from(request.bytes);
                    self.remote_bytes += u64::from(request.bytes);
                }
                self.targets[index as usize].own += 1;
                self.refresh(index);
                return Choice::Target(self.targets[index as usize].status.announcement.target);
            }
        }
        Choice::Full
    }

    /// Records the end of an attempt.
    pub fn finish(&mut self, now: Duration, target: id::TargetId, end: attempt::Outcome) {
        self.readmit(now);
        let Some(index) = self.by_id.get(&target).copied() else {
            return;
        };
        let entry = &mut self.targets[index as usize];
        entry.own = entry.own.saturating_sub(1);
        match end {
            attempt::Outcome::Success { load, .. } => {
                entry.health.record_success();
                self.note_load(index, load);
            }
            attempt::Outcome::Busy { load } => {
                // Without a figure, a refusal still says that every slot is taken.
                let full = entry.status.announcement.slots;
                self.note_load(index, Some(load.unwrap_or(full)));
            }
            attempt::Outcome::Failed | attempt::Outcome::TimedOut | attempt::Outcome::LostHedge => {
                if entry.health.record_failure() {
                    self.eject(now, index);
                }
            }
            attempt::Outcome::Abandoned => {}
        }
        self.refresh(index);
        self.remove_if_gone(index);
    }

    /// Returns the requests that may be sent now to targets of a service.
    pub fn free_slots(&mut self, now: Duration, service: id::ServiceId) -> u32 {
        self.readmit(now);
        let remote = self.may_go_remote(now);
        self.services.get(&service).map_or(0, |state| {
            state.room[0] + state.room[1] + if remote { state.room[2] } else { 0 }
        })
    }

    /// Returns this VM's requests in flight to each target.
    pub fn loads(&self) -> impl Iterator<Item = (id::TargetId, u32)> + '_ {
        self.targets
            .iter()
            .filter(|entry| entry.present)
            .map(|entry| (entry.status.announcement.target, entry.own))
    }

    /// Returns a target's address and this VM's part of its connections.
    pub fn endpoint(&self, target: id::TargetId) -> Option<(std::net::SocketAddr, u32, vm::Distance)> {
        let entry = &self.targets[*self.by_id.get(&target)? as usize];
        let distance = match entry.distance {
            0 => vm::Distance::Zone,
            1 => vm::Distance::Region,
            _ => vm::Distance::Remote,
        };
        Some((entry.status.announcement.address, entry.connections, distance))
    }

    /// Returns the bytes charged to other regions so far.
    pub const fn remote_bytes(&self) -> u64 {
        self.remote_bytes
    }

    /// Charges bytes of an answer that came from another region.
    pub fn charge_remote(&mut self, bytes: u64) {
        self.remote_bytes += bytes;
        self.remote_tokens -= bytes as f64;
    }

    /// Returns how many targets of a service are known and how many of them are ejected.
    pub fn target_counts(&self, service: id::ServiceId) -> (u32, u32) {
        self.services
            .get(&service)
            .map_or((0, 0), |state| (state.targets, state.ejected))
    }

    /// Checks the lists of targets with room against the targets.
    pub fn verify(&self) -> Result<(), String> {
        for (service, state) in &self.services {
            for class in 0..CLASSES {
                let room: u32 = state.open[class]
                    .iter()
                    .map(|index| self.targets[*index as usize].room)
                    .sum();
                if room != state.room[class] {
                    return Err(format!(
                        "service {service}: room {} but targets have {room}",
                        state.room[class]
                    ));
                }
            }
            if self.config.rules.ejection_bound && state.ejected > state.targets / 2 {
                return Err(format!(
                    "service {service}: {} of {} are ejected",
                    state.ejected, state.targets
                ));
            }
        }
        for entry in &self.targets {
            let target = entry.status.announcement.target;
            if self.config.rules.connection_allotment && entry.own >= entry.connections && entry.room > 0 {
                return Err(format!(
                    "target {target}: {} connections of {}",
                    entry.own, entry.connections
                ));
            }
            if entry.status.departing && entry.room > 0 && self.config.rules.skip_departing {
                return Err(format!("target {target} departs but has room"));
            }
        }
        Ok(())
    }

    fn replace(&mut self, targets: &[(id::ServiceId, target::Status)]) {
        for entry in &mut self.targets {
            entry.present = false;
        }
        for (service, status) in targets.iter().take(MAX_TARGETS) {
            self.upsert(*service, status);
        }
        for index in 0..self.targets.len() as Index {
            self.refresh(index);
            self.remove_if_gone(index);
        }
    }

    fn upsert(&mut self, service: id::ServiceId, status: &target::Status) {
        let known = self.by_id.get(&status.announcement.target).copied();
        // A target that changed its service or place or came back to life starts anew.
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
                entry.others = status.in_flight.saturating_sub(entry.own);
            }
            let sized =
                |status: &target::Status| (status.announcement.slots, status.announcement.connections);
            let resized = sized(&entry.status) != sized(status);
            if entry.status != *status {
                entry.status.clone_from(status);
            }
            // The parts cost a pass over the directory, so they are computed only when they can differ.
            if resized {
                self.set_parts(index);
            }
            return;
        }
        if let Some(index) = known {
            self.unlink(index);
        }
        let entry = Target {
            status: status.clone(),
            service,
            distance: status.place.distance(&self.config.own.place) as usize,
            lent: 0,
            connections: 0,
            own: 0,
            others: status.in_flight,
            health: ejection::Health::default(),
            listed: None,
            room: 0,
            present: true,
        };
        let index = if let Some(index) = self.vacant.pop() {
            self.targets[index as usize] = entry;
            index
        } else {
            self.targets.push(entry);
            (self.targets.len() - 1) as Index
        };
        self.by_id.insert(status.announcement.target, index);
        self.services.entry(service).or_default().targets += 1;
        self.set_parts(index);
    }

    fn set_parts(&mut self, index: Index) {
        let entry = &mut self.targets[index as usize];
        let place = entry.status.place;
        let announcement = &entry.status.announcement;
        entry.connections =
            allotment::connections(announcement.connections, place, self.config.own, &self.entries);
        entry.lent = allotment::slots(announcement.slots, place, self.config.own, &self.entries);
    }

    fn room_of(&self, entry: &Target) -> u32 {
        if !entry.present || (entry.status.departing && self.config.rules.skip_departing) {
            return 0;
        }
        let slots = entry.status.announcement.slots;
        // Only VMs of the target's zone keep it busy beyond its slots; others would do so over longer links.
        let headroom = if entry.lent > 0 { HEADROOM } else { 0 };
        let borrowed = match self.config.load_source {
            LoadSource::Reserved => entry.lent + headroom,
            LoadSource::Gossip | LoadSource::Response => (slots + headroom).saturating_sub(entry.others),
        };
        let lent = entry.lent;
        let mut most = entry.health.allowed(lent.max(borrowed));
        if self.config.rules.connection_allotment {
            most = most.min(entry.connections);
        }
        most.saturating_sub(entry.own)
    }

    fn refresh(&mut self, index: Index) {
        let room = self.room_of(&self.targets[index as usize]);
        let entry = &mut self.targets[index as usize];
        let Some(service) = self.services.get_mut(&entry.service) else {
            return;
        };
        let class = entry.distance;
        service.room[class] = service.room[class] - entry.room + room;
        entry.room = room;
        let list = &mut service.open[class];
        match (entry.listed, room > 0) {
            (None, true) => {
                entry.listed = Some(list.len() as u32);
                list.push(index);
            }
            (Some(position), false) => {
                entry.listed = None;
                list.swap_remove(position as usize);
                if let Some(moved) = list.get(position as usize).copied() {
                    self.targets[moved as usize].listed = Some(position);
                }
            }
            _ => {}
        }
    }

    fn pick_in(&mut self, class: usize, request: &Request<'_>) -> Option<Index> {
        let open = &self.services.get(&request.service)?.open[class];
        if open.is_empty() {
            return None;
        }
        let first = open[self.random.random_range(0..open.len())];
        let second = open[self.random.random_range(0..open.len())];
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
            // Both were tried already; only a retry gets here, so a scan of the list is rare.
            (false, false) => open.iter().copied().find(|index| usable(*index)),
        }
    }

    /// Estimated requests per slot, scaled to an integer.
    fn load(&self, index: Index) -> u64 {
        let entry = &self.targets[index as usize];
        let slots = u64::from(entry.status.announcement.slots.max(1));
        u64::from(entry.own + entry.others) * 1024 / slots
    }

    fn note_load(&mut self, index: Index, load: Option<u32>) {
        if self.config.load_source != LoadSource::Response {
            return;
        }
        if let Some(load) = load {
            let entry = &mut self.targets[index as usize];
            entry.others = load.saturating_sub(entry.own);
        }
    }

    /// Tells whether the budget for other regions has anything left. The last request may overdraw it, and the
    /// debt is paid back before the next one, so that the room that [`Router::free_slots`] reports can always be used.
    fn may_go_remote(&mut self, now: Duration) -> bool {
        if !self.config.rules.remote_budget {
            return true;
        }
        let rate = f64::from(self.config.remote_bytes_per_second);
        let earned = now.saturating_sub(self.remote_at).as_secs_f64() * rate;
        self.remote_at = self.remote_at.max(now);
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
            self.refresh(index);
        }
    }

    fn remove_if_gone(&mut self, index: Index) {
        let entry = &self.targets[index as usize];
        let target = entry.status.announcement.target;
        if !entry.present && entry.own == 0 && self.by_id.get(&target) == Some(&index) {
            self.unlink(index);
        }
    }

    fn unlink(&mut self, index: Index) {
        self.targets[index as usize].present = false;
        self.refresh(index);
        let entry = &mut self.targets[index as usize];
        let ejected = entry.health.is_ejected();
        entry.health = ejection::Health::default();
        self.by_id.remove(&entry.status.announcement.target);
        if let Some(service) = self.services.get_mut(&entry.service) {
            service.targets -= 1;
            service.ejected -= u32::from(ejected);
        }
        self.vacant.push(index);
        self.lift_excess(index);
    }

    /// Readmits targets when fewer targets are left, so that never more than half are ejected.
    fn lift_excess(&mut self, removed: Index) {
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
            self.refresh(index as Index);
        }
    }
}
