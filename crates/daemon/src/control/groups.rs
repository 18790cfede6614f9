//! Opens, closes and reopens the replicas of this VM.

use std::time::Duration;

use bronzespoke_consensus::{membership, replica};
use bronzespoke_model::id;

use crate::{
    control::{Controller, Message, context, member, zone},
    disk,
};

/// Pause before another attempt to open a group. Without it, every message of its leader, which sends one each 100 ms,
/// would cause an attempt.
const OPEN_PAUSE: Duration = Duration::from_secs(5);

/// Pause before a replica whose write failed is reopened; far longer than a change of leader takes.
const REOPEN_PAUSE: Duration = Duration::from_secs(10);

/// Why a group is currently not opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closed {
    /// Its stored state is corrupt; this process no longer participates in the group.
    Corrupt,
    /// The last attempt failed; the next one is made at this time.
    Until(Duration),
}

impl Closed {
    const fn holds(self, now: Duration) -> bool {
        match self {
            Self::Corrupt => true,
            Self::Until(at) => now.as_nanos() < at.as_nanos(),
        }
    }
}

impl Controller {
    /// Opens the groups stored in the data folder. Startup fails when one cannot be opened: without its log and votes,
    /// this VM must not participate under its old id.
    pub(super) fn open_stored(&mut self) -> Result<(), bronzespoke_storage::Error> {
        let Some(folder) = self.settings.data.clone() else {
            return Ok(());
        };
        for group in disk::groups(&folder) {
            let member = self.try_open(group, None)?;
            self.join(group, member);
        }
        Ok(())
    }

    /// Opens a replica of a group. A failure is logged and leaves the VM without the replica until the next attempt, or
    /// permanently if the stored state is corrupt.
    pub(super) fn open(
        &mut self,
        group: id::GroupId,
        bootstrap: Option<membership::Membership>,
    ) -> Option<member::Member> {
        let now = self.context.now();
        if self.closed.get(&group).is_some_and(|closed| closed.holds(now)) {
            return None;
        }
        let error = match self.try_open(group, bootstrap) {
            Ok(member) => {
                self.closed.remove(&group);
                return Some(member);
            }
            Err(error) => error,
        };
        log::error!("disk: Failed to open {group:?}: {error}");
        let closed = match error {
            // Reading corrupt state again gives the same result; only a new member can replace it.
            bronzespoke_storage::Error::Corrupt { .. } => Closed::Corrupt,
            _ => Closed::Until(now + OPEN_PAUSE),
        };
        self.closed.insert(group, closed);
        None
    }

    /// Reopens replicas whose writes failed, as a restart would, so that the VM participates again once its disk
    /// accepts writes. Until then the next write fails, and the replica is reopened after the next pause.
    pub(super) fn reopen_failed(&mut self) {
        let now = self.context.now();
        let failed = self.replicas().filter(|(_, member)| member.has_failed());
        let failed: Vec<_> = failed.map(|(group, _)| group).collect();
        for group in failed {
            self.reopen_at.entry(group).or_insert(now + REOPEN_PAUSE);
        }
        let due = self.reopen_at.iter().filter(|(_, at)| now >= **at);
        let due: Vec<_> = due.map(|(group, _)| *group).collect();
        for group in due {
            self.reopen_at.remove(&group);
            self.reopen(group);
        }
    }

    fn reopen(&mut self, group: id::GroupId) {
        let healthy =
            |(other, member): (id::GroupId, &member::Member)| other == group && !member.has_failed();
        if self.replicas().any(healthy) {
            // A message of its leader has reopened it meanwhile.
            return;
        }
        // The files stay locked until the failed replica is closed.
        self.close(group);
        if let Some(member) = self.open(group, None) {
            log::info!("disk: Reopened {group:?}.");
            self.join(group, member);
        } else if self.closed.get(&group) != Some(&Closed::Corrupt) {
            self.reopen_at.insert(group, self.context.now() + REOPEN_PAUSE);
        }
    }

    fn close(&mut self, group: id::GroupId) {
        match group {
            id::GroupId::Root => self.root.close(&self.context),
            id::GroupId::Zone(zone) => {
                if zone == self.context.me.place.zone {
                    self.scheduling = None;
                }
                if let Some(zone) = self.zones.remove(&zone) {
                    zone.close(&self.context);
                }
            }
        }
    }

    fn join(&mut self, group: id::GroupId, member: member::Member) {
        match group {
            id::GroupId::Root => self.root.promote(self.context.now(), member),
            id::GroupId::Zone(zone) => self.add_zone(zone, member),
        }
    }

    fn try_open(
        &mut self,
        group: id::GroupId,
        bootstrap: Option<membership::Membership>,
    ) -> Result<member::Member, bronzespoke_storage::Error> {
        let salt = match group {
            id::GroupId::Root => 0,
            id::GroupId::Zone(zone) => u64::from(zone) + 1,
        };
        // The replica requires a different seed at every start, so that its tokens do not repeat.
        let seed = self.settings.random_seed ^ (salt << 32) ^ context::Context::wall_ms();
        let config = replica::Config::new(self.context.me.id, group, seed);
        let inbox = self.inbox.clone();
        self.opened += 1;
        let number = self.opened;
        let notify: disk::Notify = Box::new(move |done| inbox.send(Message::Persisted(number, done)));
        member::Member::open(
            number,
            config,
            self.settings.data.as_deref(),
            bootstrap,
            notify,
            self.context.now(),
        )
    }

    /// Adds the opened replica of a zone group.
    pub(super) fn add_zone(&mut self, zone: id::AvailabilityZoneId, member: member::Member) {
        let mut group = zone::Zone::new(zone, member, self.inbox.clone());
        group.step(&self.context, replica::Input::Tick);
        self.zones.insert(zone, group);
    }
}
