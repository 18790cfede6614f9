//! Disk thread of a group.
//!
//! A sync may take many milliseconds. The control thread therefore queues writes for this thread and continues; a
//! replica treats an entry as durable only when the result of its write has arrived.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread,
};

use bronzespoke_consensus::{membership, replica, write};
use bronzespoke_model::id;

/// Maximum number of batches queued for the disk.
const QUEUE: usize = 1024;

/// Result of a batch of writes.
#[derive(Debug)]
pub struct Done {
    /// Group that the writes belong to.
    pub group: id::GroupId,
    /// Highest sequence number that is durable now, or the error.
    pub result: Result<u64, bronzespoke_storage::Error>,
}

/// Callback that receives the results of writes.
pub type Notify = Box<dyn Fn(Done) + Send>;

/// Handle to the durable state of one group. Writes that are queued when it is dropped are discarded.
#[derive(Debug)]
pub struct Disk {
    sender: mpsc::SyncSender<Vec<write::Write>>,
    closed: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

/// The thread of a closed disk, which may still be in a write that the disk does not answer.
#[derive(Debug)]
pub struct Closing(Option<thread::JoinHandle<()>>);

impl Closing {
    /// Returns whether the thread writes no more, so that the same state may be opened again.
    pub fn has_ended(&self) -> bool {
        self.0.as_ref().is_none_or(thread::JoinHandle::is_finished)
    }
}

impl Disk {
    /// Opens the state of `group` below `folder` and starts its thread.
    ///
    /// `bootstrap` is the initial membership if nothing is stored and this process bootstraps the group.
    pub fn open(
        folder: &Path,
        group: id::GroupId,
        bootstrap: Option<membership::Membership>,
        notify: Notify,
    ) -> Result<(Self, replica::Restored), bronzespoke_storage::Error> {
        let (mut store, mut restored) = bronzespoke_storage::Store::open(folder, group)?;
        if let Some(members) = bootstrap.filter(|_| restored.is_empty()) {
            restored = store.bootstrap(members)?;
        }
        let (sender, receiver) = mpsc::sync_channel(QUEUE);
        let closed = Arc::new(AtomicBool::new(false));
        let is_closed = Arc::clone(&closed);
        let thread = thread::Builder::new()
            .name(String::from("disk"))
            .spawn(move || serve(store, group, &receiver, &is_closed, &notify))
            .expect("a thread for the disk can be started");
        let disk = Self {
            sender,
            closed,
            thread: Some(thread),
        };
        Ok((disk, restored))
    }

    /// Closes the disk. The state must not be opened again before the thread has ended: a lock of the files may have no
    /// effect, as on some network file systems.
    pub fn close(mut self) -> Closing {
        Closing(self.thread.take())
    }

    /// Queues writes; their result is passed to the [`Notify`] callback.
    ///
    /// Returns whether they were queued; a full queue means that the disk does not keep up.
    pub fn write(&self, writes: Vec<write::Write>) -> bool {
        self.sender.try_send(writes).is_ok()
    }
}

impl Drop for Disk {
    fn drop(&mut self) {
        self.closed.store(true, Ordering::Release);
    }
}

fn serve(
    mut store: bronzespoke_storage::Store,
    group: id::GroupId,
    receiver: &mpsc::Receiver<Vec<write::Write>>,
    closed: &AtomicBool,
    notify: &Notify,
) {
    while let Ok(mut writes) = receiver.recv() {
        // One sync covers all batches that are queued.
        while let Ok(more) = receiver.try_recv() {
            writes.extend(more);
        }
        if closed.load(Ordering::Acquire) {
            break;
        }
        let last = writes.last().map_or(0, |write| write.sequence);
        let result = store.write(&writes).map(|()| last);
        let failed = result.is_err();
        notify(Done { group, result });
        if failed {
            break;
        }
    }
    log::info!("event=disk_thread_ended group={group:?}");
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
