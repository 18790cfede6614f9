//! Indices over resource amounts: the free capacity of workers, and the sizes of waiting tasks.
//!
//! An index is a grid with one pool of cells per accelerator kind. The quantized levels of processors, memory and
//! accelerators of an entry select its cell, so an update moves one entry between two cells. A best-fit search
//! visits the non-empty cells from the tightest upwards and compares a bounded number of workers. In the other
//! direction, a worker with freed capacity visits the task sizes that fit into it.

use std::collections::BTreeMap;
use std::fmt;

use bronzespoke_model::{id, resource};

use crate::table;

/// Number of levels of processors and of memory.
const LEVELS: usize = 32;
/// Number of levels of accelerators; the last one also holds larger amounts.
const ACCELERATOR_LEVELS: usize = 16;
/// Width of the first level of processors, in milli cores.
const CPU_UNIT: u32 = 125;
/// Width of the first level of memory, in MiB.
const MEMORY_UNIT: u32 = 128;
/// Number of workers with room that one search compares.
const WORKERS_COMPARED: usize = 12;
/// Number of workers without room that one search skips before it considers only cells in which every worker has
/// room.
const WORKERS_SKIPPED: usize = 24;

/// Location of an entry in the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Slot {
    kind: id::AcceleratorKind,
    cell: u32,
    position: u32,
}

/// Requirements of a search.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Query {
    /// Size of one task.
    pub(crate) size: resource::Amount,
    /// Required accelerator kind; 0 for none.
    pub(crate) kind: id::AcceleratorKind,
}

struct Pool<T> {
    /// Entries of each cell, indexed by accelerator level, then processor level, then memory level.
    cells: Vec<Vec<(T, resource::Amount)>>,
    /// Bit mask of the non-empty memory levels of each row, which is a pair of accelerator and processor levels.
    rows: Vec<u32>,
    /// Bit mask of the non-empty rows of each plane, which is an accelerator level.
    planes: [u32; ACCELERATOR_LEVELS],
}

impl<T: Copy + PartialEq> Pool<T> {
    fn new(kind: id::AcceleratorKind) -> Self {
        let planes = if kind == 0 { 1 } else { ACCELERATOR_LEVELS };
        Self {
            cells: vec![Vec::new(); planes * LEVELS * LEVELS],
            rows: vec![0; planes * LEVELS],
            planes: [0; ACCELERATOR_LEVELS],
        }
    }
}

/// Index of entries by amount.
pub(crate) struct Grid<T> {
    pools: BTreeMap<id::AcceleratorKind, Pool<T>>,
}

/// Free capacity of the workers that accept new tasks.
pub(crate) type FreeCapacity = Grid<table::Worker>;
/// Sizes of waiting tasks.
pub(crate) type Demand = Grid<table::Class>;

impl<T> Default for Grid<T> {
    fn default() -> Self {
        Self {
            pools: BTreeMap::new(),
        }
    }
}

impl<T> fmt::Debug for Grid<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Grid").field("pools", &self.pools.len()).finish()
    }
}

fn level(amount: u32, unit: u32) -> usize {
    let units = amount / unit;
    if units == 0 {
        return 0;
    }
    let exponent = units.ilog2();
    let half = if exponent == 0 {
        0
    } else {
        (units >> (exponent - 1)) & 1
    };
    ((2 * exponent + half + 1) as usize).min(LEVELS - 1)
}

fn cell_of(kind: id::AcceleratorKind, free: &resource::Amount) -> u32 {
    let plane = if kind == 0 {
        0
    } else {
        (free.accelerators as usize).min(ACCELERATOR_LEVELS - 1)
    };
    let row = plane * LEVELS + level(free.cpu_milli, CPU_UNIT);
    (row * LEVELS + level(free.memory_mib, MEMORY_UNIT)) as u32
}

impl<T: Copy + PartialEq> Grid<T> {
    /// Inserts an entry and returns its location.
    pub(crate) fn insert(&mut self, entry: T, kind: id::AcceleratorKind, amount: &resource::Amount) -> Slot {
        let cell = cell_of(kind, amount);
        let pool = self.pools.entry(kind).or_insert_with(|| Pool::new(kind));
        let members = &mut pool.cells[cell as usize];
        members.push((entry, *amount));
        let position = members.len() as u32 - 1;
        let row = cell as usize / LEVELS;
        pool.rows[row] |= 1 << (cell as usize % LEVELS);
        pool.planes[row / LEVELS] |= 1 << (row % LEVELS);
        Slot { kind, cell, position }
    }

    /// Removes the entry at a slot. Returns the entry that moved into the slot, if any.
    pub(crate) fn remove(&mut self, slot: Slot) -> Option<(T, Slot)> {
        let pool = self.pools.get_mut(&slot.kind).expect("the pool exists");
        let members = &mut pool.cells[slot.cell as usize];
        members.swap_remove(slot.position as usize);
        if let Some(&(moved, _)) = members.get(slot.position as usize) {
            return Some((moved, slot));
        }
        if members.is_empty() {
            let row = slot.cell as usize / LEVELS;
            pool.rows[row] &= !(1 << (slot.cell as usize % LEVELS));
            if pool.rows[row] == 0 {
                pool.planes[row / LEVELS] &= !(1 << (row % LEVELS));
            }
        }
        None
    }

    /// Updates an amount in place. Returns false, without a change, if the entry belongs in another cell now.
    pub(crate) fn update(
        &mut self,
        slot: Slot,
        kind: id::AcceleratorKind,
        amount: &resource::Amount,
    ) -> bool {
        if slot.kind != kind || slot.cell != cell_of(kind, amount) {
            return false;
        }
        let pool = self.pools.get_mut(&kind).expect("the pool exists");
        pool.cells[slot.cell as usize][slot.position as usize].1 = *amount;
        true
    }

    /// Iterates over the entries of an accelerator kind, or over all entries for kind 0.
    pub(crate) fn members(&self, kind: id::AcceleratorKind) -> impl Iterator<Item = T> {
        self.pools
            .iter()
            .filter(move |(other, _)| kind == 0 || **other == kind)
            .flat_map(|(_, pool)| pool.cells.iter().flatten().map(|(entry, _)| *entry))
    }

    /// Returns whether the slot contains the entry.
    pub(crate) fn contains_at(&self, slot: Slot, entry: T) -> bool {
        self.pools.get(&slot.kind).is_some_and(|pool| {
            let found = pool.cells[slot.cell as usize].get(slot.position as usize);
            found.is_some_and(|(other, _)| *other == entry)
        })
    }
}

impl Demand {
    /// Visits the classes whose task size fits into the free amount of a worker.
    pub(crate) fn visit_fitting(
        &self,
        kind: id::AcceleratorKind,
        free: &resource::Amount,
        visit: &mut impl FnMut(table::Class),
    ) {
        for pool in [Some(0), (kind != 0).then_some(kind)].into_iter().flatten() {
            if let Some(pool) = self.pools.get(&pool) {
                pool.visit_fitting(free, visit);
            }
        }
    }
}

impl FreeCapacity {
    /// Returns the worker with the lowest score among those compared. `score` returns `None` for a worker without
    /// room. If any indexed worker has room, the search finds one.
    pub(crate) fn search(
        &self,
        query: &Query,
        score: &mut impl FnMut(table::Worker) -> Option<f32>,
    ) -> Option<table::Worker> {
        if query.kind != 0 {
            return self.pools.get(&query.kind)?.search(query, score);
        }
        // Workers with accelerators receive other work only if no worker without accelerators has room. Pools are
        // ordered by accelerator kind, and kind 0 comes first.
        self.pools.values().find_map(|pool| pool.search(query, score))
    }
}

impl Pool<table::Class> {
    fn visit_fitting(&self, free: &resource::Amount, visit: &mut impl FnMut(table::Class)) {
        let rows_below = levels_up_to(level(free.cpu_milli, CPU_UNIT));
        let cells_below = levels_up_to(level(free.memory_mib, MEMORY_UNIT));
        let last = (free.accelerators as usize).min(self.rows.len() / LEVELS - 1);
        for plane in 0..=last {
            let mut rows = self.planes[plane] & rows_below;
            while rows != 0 {
                let row = plane * LEVELS + rows.trailing_zeros() as usize;
                rows &= rows - 1;
                let mut cells = self.rows[row] & cells_below;
                while cells != 0 {
                    let cell = row * LEVELS + cells.trailing_zeros() as usize;
                    cells &= cells - 1;
                    for (class, size) in &self.cells[cell] {
                        if size.fits(free) {
                            visit(*class);
                        }
                    }
                }
            }
        }
    }
}

/// Returns the bit mask of the levels up to and including `level`.
const fn levels_up_to(level: usize) -> u32 {
    u32::MAX >> (LEVELS - 1 - level)
}

impl Pool<table::Worker> {
    fn search(
        &self,
        query: &Query,
        score: &mut impl FnMut(table::Worker) -> Option<f32>,
    ) -> Option<table::Worker> {
        let (best, incomplete) = self.scan(query, score, WORKERS_SKIPPED);
        if best.is_some() || !incomplete {
            return best;
        }
        self.scan(query, score, usize::MAX).0
    }

    /// Returns the best worker found, and whether the scan ended before it had considered every worker.
    fn scan(
        &self,
        query: &Query,
        score: &mut impl FnMut(table::Worker) -> Option<f32>,
        max_skipped: usize,
    ) -> (Option<table::Worker>, bool) {
        let need = &query.size;
        let cpu = level(need.cpu_milli, CPU_UNIT);
        let memory = level(need.memory_mib, MEMORY_UNIT);
        let first = (need.accelerators as usize).min(ACCELERATOR_LEVELS - 1);
        let mut best: Option<(f32, table::Worker)> = None;
        let mut compared = 0;
        let mut skipped = 0;
        let mut incomplete = false;
        for plane in first..(self.rows.len() / LEVELS) {
            let mut rows = self.planes[plane] & (u32::MAX << cpu);
            while rows != 0 {
                let row = rows.trailing_zeros() as usize;
                rows &= rows - 1;
                let mut cells = self.rows[plane * LEVELS + row] & (u32::MAX << memory);
                while cells != 0 {
                    let column = cells.trailing_zeros() as usize;
                    cells &= cells - 1;
                    let edge = row == cpu || column == memory || plane == ACCELERATOR_LEVELS - 1;
                    for &(worker, free) in &self.cells[(plane * LEVELS + row) * LEVELS + column] {
                        if !edge || need.fits(&free) {
                            // The worker has room: score it below.
                        } else if skipped >= max_skipped {
                            incomplete = true;
                            break;
                        } else {
                            skipped += 1;
                            continue;
                        }
                        match score(worker) {
                            Some(value) => {
                                compared += 1;
                                if best.is_none_or(|(lowest, _)| value < lowest) {
                                    best = Some((value, worker));
                                }
                                if compared >= WORKERS_COMPARED {
                                    return (best.map(|(_, worker)| worker), true);
                                }
                            }
                            None => skipped += 1,
                        }
                    }
                }
            }
        }
        (best.map(|(_, worker)| worker), incomplete)
    }
}
