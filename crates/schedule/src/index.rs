//! Indices of amounts: the workers' free capacity, and the needs of waiting tasks.
//!
//! Entries are kept in cells by the levels of their processors, memory and accelerators, one set of cells per
//! accelerator kind. A change moves one entry between two cells. A best-fit search visits the non-empty cells from
//! the tightest upwards and looks at a bounded number of workers; a freed worker visits the needs below its room.

use std::collections::BTreeMap;
use std::fmt;

use bronzespoke_model::{id, resource};

use crate::table;

/// Levels of processors and of memory.
const LEVELS: usize = 32;
/// Levels of accelerators; the last one also holds larger amounts.
const ACCELERATOR_LEVELS: usize = 16;
/// Width of the first level of processors, in thousandths of a core.
const CPU_UNIT: u32 = 125;
/// Width of the first level of memory, in MiB.
const MEMORY_UNIT: u32 = 128;
/// Workers with room that one search compares.
const COMPARED: usize = 12;
/// Workers without room that one search skips before it turns to cells in which all have room.
const SKIPPED: usize = 24;

/// Where a worker stands in the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Slot {
    kind: id::AcceleratorKind,
    cell: u32,
    position: u32,
}

/// What a search asks for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Query {
    /// Size of one task.
    pub(crate) size: resource::Amount,
    /// Accelerator kind; 0 for none.
    pub(crate) kind: id::AcceleratorKind,
}

struct Pool<T> {
    /// Accelerators, then processors, then memory.
    cells: Vec<Vec<(T, resource::Amount)>>,
    /// Non-empty memory levels of each (accelerators, processors) row.
    rows: Vec<u32>,
    /// Non-empty rows of each accelerator level.
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

/// Entries with their amounts.
pub(crate) struct Grid<T> {
    pools: BTreeMap<id::AcceleratorKind, Pool<T>>,
}

/// Free capacity of the workers that take new tasks.
pub(crate) type Free = Grid<table::Worker>;
/// Needs of waiting tasks.
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
    /// Adds an entry.
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

    /// Removes an entry; returns the entry that took its position, if any.
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

    /// Changes an amount in place; returns whether the entry's cell is still the right one.
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

    /// Visits all entries of a kind, or of every kind for 0.
    pub(crate) fn members(&self, kind: id::AcceleratorKind) -> impl Iterator<Item = T> {
        self.pools
            .iter()
            .filter(move |(other, _)| kind == 0 || **other == kind)
            .flat_map(|(_, pool)| pool.cells.iter().flatten().map(|(entry, _)| *entry))
    }

    /// Tells whether the entry is at the slot.
    pub(crate) fn holds(&self, slot: Slot, entry: T) -> bool {
        self.pools.get(&slot.kind).is_some_and(|pool| {
            let found = pool.cells[slot.cell as usize].get(slot.position as usize);
            found.is_some_and(|(other, _)| *other == entry)
        })
    }
}

impl Demand {
    /// Visits the needs that fit into a free amount of a worker.
    pub(crate) fn below(
        &self,
        kind: id::AcceleratorKind,
        free: &resource::Amount,
        visit: &mut impl FnMut(table::Class),
    ) {
        for pool in [Some(0), (kind != 0).then_some(kind)].into_iter().flatten() {
            if let Some(pool) = self.pools.get(&pool) {
                pool.below(free, visit);
            }
        }
    }
}

impl Free {
    /// Returns the worker with the lowest score among those compared. `score` returns `None` for a worker
    /// without room. When any indexed worker has room, one is found.
    pub(crate) fn search(
        &self,
        query: &Query,
        score: &mut impl FnMut(table::Worker) -> Option<f32>,
    ) -> Option<table::Worker> {
        if query.kind != 0 {
            return self.pools.get(&query.kind)?.search(query, score);
        }
        // Workers with accelerators take other work only when no plain worker has room.
        self.pools.values().find_map(|pool| pool.search(query, score))
    }
}

impl Pool<table::Class> {
    fn below(&self, free: &resource::Amount, visit: &mut impl FnMut(table::Class)) {
        let rows_below = up_to(level(free.cpu_milli, CPU_UNIT));
        let cells_below = up_to(level(free.memory_mib, MEMORY_UNIT));
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

/// Returns the mask of the levels up to one.
const fn up_to(level: usize) -> u32 {
    u32::MAX >> (LEVELS - 1 - level)
}

impl Pool<table::Worker> {
    fn search(
        &self,
        query: &Query,
        score: &mut impl FnMut(table::Worker) -> Option<f32>,
    ) -> Option<table::Worker> {
        let (best, skipped) = self.scan(query, score, SKIPPED);
        if best.is_some() || !skipped {
            return best;
        }
        self.scan(query, score, usize::MAX).0
    }

    /// Returns the best worker found and whether any worker was left out.
    fn scan(
        &self,
        query: &Query,
        score: &mut impl FnMut(table::Worker) -> Option<f32>,
        skip: usize,
    ) -> (Option<table::Worker>, bool) {
        let need = &query.size;
        let cpu = level(need.cpu_milli, CPU_UNIT);
        let memory = level(need.memory_mib, MEMORY_UNIT);
        let first = (need.accelerators as usize).min(ACCELERATOR_LEVELS - 1);
        let mut best: Option<(f32, table::Worker)> = None;
        let mut compared = 0;
        let mut skipped = 0;
        let mut left_out = false;
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
                            // The worker has room.
                        } else if skipped >= skip {
                            left_out = true;
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
                                if compared >= COMPARED {
                                    return (best.map(|(_, worker)| worker), true);
                                }
                            }
                            None => skipped += 1,
                        }
                    }
                }
            }
        }
        (best.map(|(_, worker)| worker), left_out)
    }
}
