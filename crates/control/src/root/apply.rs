//! Application of root commands.

use std::{collections::BTreeMap, sync::Arc};

use bronzespoke_model::{config, id, service, team, vm};

use super::{
    Envelope, allotments,
    command::{Command, LossProof, Outcome, Refusal, Subject},
    state::{State, Zone},
};
use crate::escrow;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum number of teams.
pub const MAX_TEAMS: usize = 4096;
/// Maximum number of granted keys.
pub const MAX_KEYS: usize = 16_384;
/// Maximum number of withdrawn keys that are retained; the oldest is evicted first.
pub const MAX_WITHDRAWN: usize = 32_768;
/// Maximum number of services, and maximum number of open queues.
pub const MAX_SERVICES: usize = 1024;
/// Maximum number of VMs in the directory.
pub const MAX_VMS: usize = 512;
/// Maximum number of availability zones, including lost ones.
pub const MAX_ZONES: usize = 64;
/// Maximum number of workers, targets and VMs that are marked as draining.
pub const MAX_DRAINS: usize = 16_384;

impl State {
    /// Applies the commands of the log entry at `index`. An entry that was applied earlier is ignored.
    pub fn apply_all(&mut self, index: u64, envelopes: &[Envelope]) -> Vec<Outcome> {
        if index <= self.applied {
            return vec![Outcome::Ignored; envelopes.len()];
        }
        self.applied = index;
        envelopes
            .iter()
            .map(|envelope| self.apply_envelope(envelope))
            .collect()
    }

    /// Applies a log entry with a single command. An entry that was applied earlier is ignored.
    pub fn apply(&mut self, index: u64, envelope: &Envelope) -> Outcome {
        let outcome = self.apply_all(index, std::slice::from_ref(envelope)).pop();
        outcome.expect("each command has an outcome")
    }

    fn apply_envelope(&mut self, envelope: &Envelope) -> Outcome {
        self.now_ms = self.now_ms.max(envelope.at_ms);
        let known = envelope.id.and_then(|id| self.commands.get(id));
        if let Some(outcome) = known
            && self.rules.dedupe
        {
            return outcome;
        }
        let outcome = self.execute(envelope).unwrap_or_else(Outcome::Refused);
        if let Some(id) = envelope.id {
            self.commands.insert(id, &outcome);
        }
        outcome
    }

    fn execute(&mut self, envelope: &Envelope) -> Result<Outcome, Refusal> {
        match &envelope.command {
            Command::CreateTeam { name, quota } => self.create_team(name, *quota),
            Command::SetQuota { team, quota } => self.set_quota(*team, *quota),
            Command::GrantKey { hash, team } => self.grant_key(*hash, *team),
            Command::WithdrawKey { hash } => self.withdraw_key(hash),
            Command::CreateService { name } => self.create_service(name),
            Command::CreateQueue {
                name,
                service,
                requests,
            } => self.create_queue(name, *service, *requests),
            Command::SetConfig { expected, config } => Ok(self.set_config(*expected, config, envelope.id)),
            Command::AddZone { place } => self.add_zone(*place),
            Command::FoundZone { zone, founder } => self.bootstrap_zone(*zone, *founder),
            Command::LoseZone { zone, proof } => self.lose_zone(*zone, *proof),
            Command::AddVm(vm) => self.add_vm(vm),
            Command::RemoveVm(id) => self.remove_vm(*id),
            Command::Drain { subject, on } => self.drain(*subject, *on),
            Command::Grant(grants) => Ok(self.grant(grants)),
            Command::Released { zone, released } => self.released(*zone, released),
        }
    }

    fn create_team(&mut self, name: &str, quota: team::Quota) -> Result<Outcome, Refusal> {
        check_name(name)?;
        check_quota(&quota)?;
        check_space(self.teams.len(), MAX_TEAMS)?;
        if self.team_names.contains_key(name) {
            return Err(Refusal::NameTaken);
        }
        self.next_team += 1;
        let id = self.next_team;
        let team = team::Team {
            id,
            name: name.to_owned(),
            quota,
        };
        Arc::make_mut(&mut self.teams).insert(id, Arc::new(team));
        Arc::make_mut(&mut self.team_names).insert(name.to_owned(), id);
        self.ceilings.insert(id, quota.limit.into());
        Ok(Outcome::Team(id))
    }

    fn set_quota(&mut self, id: id::TeamId, quota: team::Quota) -> Result<Outcome, Refusal> {
        check_quota(&quota)?;
        let teams = Arc::make_mut(&mut self.teams);
        let team = teams.get_mut(&id).ok_or(Refusal::NoSuchTeam)?;
        Arc::make_mut(team).quota = quota;
        if let Some(allotments) = Arc::make_mut(&mut self.allotments).get_mut(&id) {
            allotments::shrink(&quota.limit.into(), Arc::make_mut(allotments));
        }
        self.set_ceiling(id);
        Ok(Outcome::Done)
    }

    /// Sets the ceiling of a team to its limit, or to its outstanding allotments while they exceed the limit.
    fn set_ceiling(&mut self, team: id::TeamId) {
        if let Some(record) = self.teams.get(&team) {
            let limit = escrow::Total::from(record.quota.limit);
            let ceiling = limit.max(&self.outstanding(team));
            self.ceilings.insert(team, ceiling);
        }
    }

    fn grant_key(&mut self, hash: team::KeyHash, team: id::TeamId) -> Result<Outcome, Refusal> {
        if !self.teams.contains_key(&team) {
            return Err(Refusal::NoSuchTeam);
        }
        if self.rules.withdrawn && self.withdrawn.contains_key(&hash) {
            return Err(Refusal::KeyWithdrawn);
        }
        match self.keys.get(&hash) {
            Some(owner) if *owner == team => return Ok(Outcome::Done),
            Some(_) => return Err(Refusal::KeyTaken),
            None => check_space(self.keys.len(), MAX_KEYS)?,
        }
        Arc::make_mut(&mut self.keys).insert(hash, team);
        Ok(Outcome::Done)
    }

    fn withdraw_key(&mut self, hash: &team::KeyHash) -> Result<Outcome, Refusal> {
        if self.withdrawn.contains_key(hash) && !self.keys.contains_key(hash) {
            return Ok(Outcome::Done);
        }
        Arc::make_mut(&mut self.keys)
            .remove(hash)
            .ok_or(Refusal::NoSuchKey)?;
        if self.withdrawn.len() >= MAX_WITHDRAWN {
            let oldest = self.withdrawn.iter().min_by_key(|(_, sequence)| **sequence);
            let oldest = oldest.map(|(hash, _)| *hash);
            oldest.and_then(|oldest| self.withdrawn.remove(&oldest));
        }
        self.withdrawals += 1;
        self.withdrawn.insert(*hash, self.withdrawals);
        Ok(Outcome::Done)
    }

    fn create_service(&mut self, name: &str) -> Result<Outcome, Refusal> {
        check_name(name)?;
        check_space(self.services.len(), MAX_SERVICES)?;
        if self.services.contains_key(name) {
            return Err(Refusal::NameTaken);
        }
        self.next_service += 1;
        let service = service::Service {
            id: self.next_service,
            name: name.to_owned(),
        };
        Arc::make_mut(&mut self.services).insert(name.to_owned(), service);
        Ok(Outcome::Service(self.next_service))
    }

    fn create_queue(
        &mut self,
        name: &str,
        service: id::ServiceId,
        requests: u32,
    ) -> Result<Outcome, Refusal> {
        check_name(name)?;
        check_space(self.queues.len(), MAX_SERVICES)?;
        if self.queues.contains_key(name) {
            return Err(Refusal::NameTaken);
        }
        if !self.services.values().any(|known| known.id == service) {
            return Err(Refusal::NoSuchService);
        }
        self.next_queue += 1;
        let queue = service::Queue {
            id: self.next_queue,
            name: name.to_owned(),
            service,
            requests,
        };
        Arc::make_mut(&mut self.queues).insert(name.to_owned(), queue);
        Ok(Outcome::Queue(self.next_queue))
    }

    fn set_config(
        &mut self,
        expected: id::ConfigVersion,
        config: &config::Config,
        command: Option<id::CommandId>,
    ) -> Outcome {
        if self.rules.version && expected != self.version {
            return Outcome::Conflict {
                version: self.version,
                winner: self.config_command,
            };
        }
        self.version = expected + 1;
        self.config = config.clone();
        self.config_command = command;
        Outcome::Config(self.version)
    }

    fn add_zone(&mut self, place: vm::Place) -> Result<Outcome, Refusal> {
        if let Some(zone) = self.zones.get(&place.zone) {
            let same = zone.region == place.region && zone.lost_ms.is_none();
            return if same {
                Ok(Outcome::Done)
            } else {
                Err(Refusal::ZoneTaken)
            };
        }
        check_space(self.zones.len(), MAX_ZONES)?;
        let zone = Zone {
            region: place.region,
            added_ms: self.now_ms,
            founding: self.teams.is_empty(),
            lost_ms: None,
        };
        Arc::make_mut(&mut self.zones).insert(place.zone, zone);
        Ok(Outcome::Done)
    }

    fn bootstrap_zone(
        &mut self,
        zone: id::AvailabilityZoneId,
        founder: id::VmId,
    ) -> Result<Outcome, Refusal> {
        if !self.zones.contains_key(&zone) {
            return Err(Refusal::NoSuchZone);
        }
        let first = *self.founders.entry(zone).or_insert(founder);
        if first == founder {
            Ok(Outcome::Done)
        } else {
            Err(Refusal::ZoneTaken)
        }
    }

    fn lose_zone(&mut self, id: id::AvailabilityZoneId, proof: LossProof) -> Result<Outcome, Refusal> {
        if proof.stopped_ms < LossProof::MIN_STOPPED_MS {
            return Err(Refusal::LeasesMayRun);
        }
        let zone = Arc::make_mut(&mut self.zones)
            .get_mut(&id)
            .ok_or(Refusal::NoSuchZone)?;
        if zone.lost_ms.is_some() {
            return Ok(Outcome::Done);
        }
        zone.lost_ms = Some(self.now_ms);
        Arc::make_mut(&mut self.vms).retain(|_, vm| vm.place.zone != id);
        for allotments in Arc::make_mut(&mut self.allotments).values_mut() {
            if let Some(allotment) = Arc::make_mut(allotments).get_mut(&id) {
                allotment.released = allotment.granted;
                allotment.target = bronzespoke_model::resource::Amount::ZERO;
            }
        }
        let teams: Vec<id::TeamId> = self.allotments.keys().copied().collect();
        for team in teams {
            self.set_ceiling(team);
        }
        Ok(Outcome::Done)
    }

    fn add_vm(&mut self, vm: &vm::Vm) -> Result<Outcome, Refusal> {
        check_name(&vm.name)?;
        let zone = self.zones.get(&vm.place.zone).ok_or(Refusal::NoSuchZone)?;
        if zone.lost_ms.is_some() || zone.region != vm.place.region {
            return Err(Refusal::NoSuchZone);
        }
        if !self.vms.contains_key(&vm.id) {
            check_space(self.vms.len(), MAX_VMS)?;
        }
        Arc::make_mut(&mut self.vms).insert(vm.id, vm.clone());
        Ok(Outcome::Done)
    }

    fn remove_vm(&mut self, id: id::VmId) -> Result<Outcome, Refusal> {
        Arc::make_mut(&mut self.vms)
            .remove(&id)
            .ok_or(Refusal::NoSuchVm)?;
        Arc::make_mut(&mut self.drains).remove(&Subject::Vm(id));
        Ok(Outcome::Done)
    }

    fn drain(&mut self, subject: Subject, on: bool) -> Result<Outcome, Refusal> {
        if on && !self.drains.contains(&subject) {
            check_space(self.drains.len(), MAX_DRAINS)?;
            Arc::make_mut(&mut self.drains).insert(subject);
        } else if !on {
            Arc::make_mut(&mut self.drains).remove(&subject);
        }
        Ok(Outcome::Done)
    }

    fn grant(&mut self, grants: &[allotments::Grant]) -> Outcome {
        let mut by_team: BTreeMap<id::TeamId, Vec<u32>> = BTreeMap::new();
        for (number, grant) in grants.iter().enumerate() {
            by_team.entry(grant.team).or_default().push(number as u32);
        }
        let mut refused = Vec::new();
        for (team, numbers) in by_team {
            let of_team: Vec<allotments::Grant> =
                numbers.iter().map(|number| grants[*number as usize]).collect();
            if !self.grant_team(team, &of_team) {
                refused.extend(numbers);
            }
        }
        refused.sort_unstable();
        Outcome::Granted(refused)
    }

    /// Applies the grants of one team atomically; returns `false`, without a change, when they would exceed its limit
    /// or when the team or a zone does not exist or a zone is lost.
    fn grant_team(&mut self, team: id::TeamId, grants: &[allotments::Grant]) -> bool {
        let is_open =
            |zone: id::AvailabilityZoneId| self.zones.get(&zone).is_some_and(|zone| zone.lost_ms.is_none());
        let Some(record) = self.teams.get(&team) else {
            return false;
        };
        if !grants.iter().all(|grant| is_open(grant.zone)) {
            return false;
        }
        let limit = escrow::Total::from(record.quota.limit);
        let mut allotments = self
            .allotments
            .get(&team)
            .map(|allotments| (**allotments).clone())
            .unwrap_or_default();
        let mut added = escrow::Total::ZERO;
        for grant in grants {
            let allotment = allotments.entry(grant.zone).or_default();
            let granted = if self.rules.monotonic {
                grant.granted.max(&allotment.granted)
            } else {
                grant.granted
            };
            added = added.saturating_add(&granted.saturating_sub(&allotment.granted));
            allotment.granted = granted;
            allotment.target = grant.target;
        }
        let targets: Vec<escrow::Total> = allotments
            .values()
            .map(|allotment| allotment.target.into())
            .collect();
        let fits = added.fits(&self.headroom(team)) && escrow::sum(&targets).fits(&limit);
        if self.rules.limit && !fits {
            return false;
        }
        Arc::make_mut(&mut self.allotments).insert(team, Arc::new(allotments));
        true
    }

    fn released(
        &mut self,
        zone: id::AvailabilityZoneId,
        released: &[(id::TeamId, escrow::Total)],
    ) -> Result<Outcome, Refusal> {
        if self.zones.get(&zone).is_none_or(|zone| zone.lost_ms.is_some()) {
            return Err(Refusal::NoSuchZone);
        }
        for (team, total) in released {
            let allotments = Arc::make_mut(&mut self.allotments);
            let Some(allotment) = allotments
                .get_mut(team)
                .and_then(|allotments| Arc::make_mut(allotments).get_mut(&zone))
            else {
                continue;
            };
            allotment.released = allotment.released.max(total).min(&allotment.granted);
            self.set_ceiling(*team);
        }
        Ok(Outcome::Done)
    }
}

fn check_name(name: &str) -> Result<(), Refusal> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(Refusal::BadName);
    }
    Ok(())
}

const fn check_quota(quota: &team::Quota) -> Result<(), Refusal> {
    if quota.weight == 0 {
        return Err(Refusal::BadQuota);
    }
    Ok(())
}

const fn check_space(len: usize, max: usize) -> Result<(), Refusal> {
    if len >= max {
        return Err(Refusal::Full);
    }
    Ok(())
}
