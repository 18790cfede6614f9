//! The groups of this VM: opens their replicas from the data folder.

use std::time::Duration;

use bronzespoke_consensus::{membership, replica};
use bronzespoke_model::id;

use crate::{
    control::{Controller, Message, context, member, zone},
    disk,
};

/// Pause before a group that could not be opened is tried again. Leaders send to it every 100 ms.
const PAUSE: Duration = Duration::from_secs(5);

/// Pause before a replica whose write failed is opened again; far above the time that the hand-over of the lead takes.
const REOPEN_PAUSE: Duration = Duration::from_secs(10);

/// Why a group is not opened now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closed {
    /// Its stored state is corrupt; this process does not take part any more.
    Corrupt,
    /// The last try failed; the next one is due then.
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
    /// Opens the groups that the data folder holds. A group that cannot be opened stops the start: without the log
    /// and the votes that it promised to keep, this VM must not take part under its old id.
    pub(super) fn open_stored(&mut self) -> Result<(), bronzespoke_storage::Error> {
        let Some(folder) = self.settings.data.clone() else {
            return Ok(());
        };
        for group in disk::groups(&folder) {
            let member = self.try_open(group, None)?;
            self.take_part(group, member);
        }
        Ok(())
    }

    /// Opens a replica of a group; a failure is logged and leaves the VM without it, for good when the stored state is
    /// corrupt.
    pub(super) fn open(
        &mut self,
        group: id::GroupId,
        found: Option<membership::Membership>,
    ) -> Option<member::Member> {
        let now = self.context.now();
        if self.closed.get(&group).is_some_and(|closed| closed.holds(now)) {
            return None;
        }
        let error = match self.try_open(group, found) {
            Ok(member) => {
                self.closed.remove(&group);
                return Some(member);
            }
            Err(error) => error,
        };
        log::error!("disk: {group:?} cannot be opened: {error}");
        let closed = match error {
            // Only a new member can replace damaged state; reading it again finds the same.
            bronzespoke_storage::Error::Corrupt { .. } => Closed::Corrupt,
            _ => Closed::Until(now + PAUSE),
        };
        self.closed.insert(group, closed);
        None
    }

    /// Opens replicas again whose writes failed, as a restart would, so that the VM takes part again once its disk takes
    /// writes. While it does not, the next write fails and the replica is opened again after the next pause.
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
            // Its leader sent to it meanwhile.
            return;
        }
        // The files are locked until the former replica is closed.
        self.close(group);
        if let Some(member) = self.open(group, None) {
            log::info!("disk: {group:?} is open again.");
            self.take_part(group, member);
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

    fn take_part(&mut self, group: id::GroupId, member: member::Member) {
        match group {
            id::GroupId::Root => self.root.promote(self.context.now(), member),
            id::GroupId::Zone(zone) => self.add_zone(zone, member),
        }
    }

    fn try_open(
        &mut self,
        group: id::GroupId,
        found: Option<membership::Membership>,
    ) -> Result<member::Member, bronzespoke_storage::Error> {
        let salt = match group {
            id::GroupId::Root => 0,
            id::GroupId::Zone(zone) => u64::from(zone) + 1,
        };
        // The seed differs at every start, as the replica demands of its answer tokens.
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
            found,
            notify,
            self.context.now(),
        )
    }

    /// Takes part in a zone group with an opened replica.
    pub(super) fn add_zone(&mut self, zone: id::AvailabilityZoneId, member: member::Member) {
        let mut group = zone::Zone::new(zone, member, self.inbox.clone());
        group.step(&self.context, replica::Input::Tick);
        self.zones.insert(zone, group);
    }
}
