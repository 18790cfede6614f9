//! The disk thread.
//!
//! A sync may take many milliseconds. The control thread hands writes to this thread and goes on; a replica counts
//! an entry only when the result has come back.

use std::{path::Path, sync::mpsc, thread};

use bronzespoke_consensus::{membership, replica, write};
use bronzespoke_model::id;

/// Writes that may wait for the disk.
const QUEUE: usize = 1024;

/// Result of a batch of writes.
#[derive(Debug)]
pub struct Done {
    /// Group.
    pub group: id::GroupId,
    /// Highest write number that is now durable, or the error.
    pub result: Result<u64, bronzespoke_storage::Error>,
}

/// Receives the results of writes.
pub type Notify = Box<dyn Fn(Done) + Send>;

/// Handle on the durable state of one group.
#[derive(Debug)]
pub struct Disk {
    sender: mpsc::SyncSender<Vec<write::Write>>,
}

impl Disk {
    /// Opens the state of `group` below `folder` and starts its thread.
    ///
    /// `found` gives the first members when nothing is stored and this process founds the group.
    pub fn open(
        folder: &Path,
        group: id::GroupId,
        found: Option<membership::Membership>,
        notify: Notify,
    ) -> Result<(Self, replica::Restored), bronzespoke_storage::Error> {
        let (mut store, mut restored) = bronzespoke_storage::Store::open(folder, group)?;
        if let Some(members) = found.filter(|_| restored.is_empty()) {
            restored = store.bootstrap(members)?;
        }
        let (sender, receiver) = mpsc::sync_channel(QUEUE);
        let name = String::from("disk");
        thread::Builder::new()
            .name(name)
            .spawn(move || serve(store, group, &receiver, &notify))
            .expect("a thread for the disk can be started");
        Ok((Self { sender }, restored))
    }

    /// Hands writes over; their result arrives by the notification.
    ///
    /// Returns whether they were taken; a full queue means that the disk does not keep up.
    pub fn write(&self, writes: Vec<write::Write>) -> bool {
        self.sender.try_send(writes).is_ok()
    }
}

fn serve(
    mut store: bronzespoke_storage::Store,
    group: id::GroupId,
    receiver: &mpsc::Receiver<Vec<write::Write>>,
    notify: &Notify,
) {
    while let Ok(mut writes) = receiver.recv() {
        // One sync covers every batch that waited.
        while let Ok(more) = receiver.try_recv() {
            writes.extend(more);
        }
        let last = writes.last().map_or(0, |write| write.sequence);
        let result = store.write(&writes).map(|()| last);
        let failed = result.is_err();
        notify(Done { group, result });
        if failed {
            return;
        }
    }
}

/// Returns the groups that have files below a data folder.
pub fn groups(folder: &Path) -> Vec<id::GroupId> {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let names = entries.filter_map(|entry| entry.file_name().into_string().ok());
    let mut groups: Vec<_> = names
        .filter_map(|name| match name.as_str() {
            "root" => Some(id::GroupId::Root),
            other => other.strip_prefix("zone-")?.parse().ok().map(id::GroupId::Zone),
        })
        .collect();
    groups.sort_unstable();
    groups
}
