//! Persistent id of this VM's daemon.
//!
//! A daemon with a data folder stores its id there. Without one, every incarnation draws a new id, so that a replica
//! that has lost its votes never votes under its old id.

use std::{
    fs::{self, File},
    io::{self, Write},
    path::Path,
};

use bronzespoke_model::id;

const FILE: &str = "vm-id";
const TEMPORARY: &str = "vm-id.new";

/// Returns the id, drawing and storing a new one when the folder holds none.
pub fn load(folder: Option<&Path>) -> io::Result<id::VmId> {
    let Some(folder) = folder else {
        return Ok(draw());
    };
    fs::create_dir_all(folder)?;
    match read(folder)? {
        Some(vm) => Ok(vm),
        None => store(folder, draw()),
    }
}

/// Returns the id that the folder holds, or stores `first` there. Without `first` a new id is drawn.
pub fn load_or(folder: &Path, first: Option<id::VmId>) -> io::Result<id::VmId> {
    fs::create_dir_all(folder)?;
    match read(folder)? {
        Some(vm) => Ok(vm),
        None => store(folder, first.unwrap_or_else(draw)),
    }
}

/// Stores a new id in place of the one that the folder holds.
pub fn renew(folder: &Path) -> io::Result<id::VmId> {
    store(folder, draw())
}

fn read(folder: &Path) -> io::Result<Option<id::VmId>> {
    match fs::read_to_string(folder.join(FILE)) {
        Ok(text) => text.trim().parse().map(Some).map_err(|_error| {
            io::Error::new(
                io::ErrorKind::InvalidData,
                format!("{FILE} does not hold a VM id"),
            )
        }),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

/// Draws a random id of 32 bits, which keeps frames short. Collisions are unlikely: a cell has tens of VMs and a few
/// hundred incarnations a day.
fn draw() -> id::VmId {
    u64::from(rand::random::<u32>()).max(1)
}

fn store(folder: &Path, vm: id::VmId) -> io::Result<id::VmId> {
    let temporary = folder.join(TEMPORARY);
    let mut file = File::create(&temporary)?;
    writeln!(file, "{vm}")?;
    file.sync_all()?;
    fs::rename(&temporary, folder.join(FILE))?;
    File::open(folder)?.sync_all()?;
    Ok(vm)
}
