//! Shares of the teams whose work waits.
//!
//! Load: a team sends several times its usual traffic while the fleet is full. Ordered by slack alone, its jobs take
//! capacity from the jobs that other teams are owed. The policy is that of `bronzespoke_share`; this module keeps the
//! accounts that it needs. They are rebuilt by a new leader from the runs and jobs that it inherits.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use bronzespoke_control::cell;
use bronzespoke_model::resource;
use bronzespoke_share::{DIMENSIONS, Portion, dominant, level, order, past, rate};
use bronzespoke_workload::{catalog, job};

use crate::usage;

/// Interval at which the capacity of the fleet is measured.
const CAPACITY_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum interval between two reports about a team, and between two reports for metrics.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of reports about teams in one pass.
const MAX_REPORTS: usize = 16;
/// Name of the account of the calls without a team. It has the mean weight and no promised number of jobs.
const NO_TEAM: &str = "";
/// Upper limit of a weight in computations; a configuration may contain infinity.
const MAX_WEIGHT: f64 = 1e12;

/// Amount in each dimension, which may exceed that of one worker by far.
pub type Sum = [u64; DIMENSIONS];

/// Returns `count` times an amount.
pub fn times(size: resource::Amount, count: u32) -> Sum {
    [size.cpu_milli, size.memory_mib, size.accelerators].map(|amount| u64::from(amount) * u64::from(count))
}

/// Adds an amount to a sum.
pub fn add(sum: &mut Sum, amount: &Sum) {
    for (sum, amount) in sum.iter_mut().zip(amount) {
        *sum = sum.saturating_add(*amount);
    }
}

/// Share of a team, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamShare {
    /// Name of the team; empty for calls without a team.
    pub team: String,
    /// Weight of the team.
    pub weight: f64,
    /// Dominant share of the fleet that the team's runs use.
    pub share: f64,
    /// Fair share of the team; `None` while the fleet has room for all work.
    pub fair: Option<f64>,
    /// Decayed average of the share; 0 if past use is not counted.
    pub past: f64,
    /// Number of waiting steps of the team.
    pub waiting: u32,
    /// Number of waiting steps of jobs beyond the number that the team is owed.
    pub excess: u32,
    /// Whether work of the team is placed after that of teams within their share.
    pub beyond: bool,
}

#[derive(Debug)]
struct Account {
    weight: f64,
    limit: resource::Amount,
    /// Whether the configuration contains the team.
    configured: bool,
    allowance: Option<rate::Allowance>,
    /// What the waiting steps of the team need.
    demand: Sum,
    waiting: u32,
    excess: u32,
    /// Dominant share of the widest step that was started, and its expected end.
    widest: (f64, Duration),
    used: Sum,
    share: f64,
    past: past::Average,
    /// Time of the last report that past use changed the order of the team's work.
    moved_at: Option<Duration>,
    /// Whether the team was beyond its share in the last report, and the time of the report.
    reported: (bool, Duration),
}

/// Accounts of the teams and the order of their waiting work.
#[derive(Debug, Default)]
pub struct Shares {
    version: Option<u64>,
    accounts: HashMap<String, Account>,
    mean_weight: f64,
    /// Sum of the weights of the configured teams.
    total_weight: f64,
    capacity: Sum,
    measured_at: Option<Duration>,
    /// Whether each active job exceeds the number that its team is owed.
    counted: HashMap<job::Key, bool>,
    /// Fair share of a team of weight 1; `None` while the fleet has room for all work.
    level: Option<f64>,
    /// Whether the work that waits includes that of a team that is owed further jobs.
    protects: bool,
    /// Time of the last report for metrics.
    reported_at: Option<Duration>,
    /// Accounts and waiting steps that were visited.
    visits: u64,
}

impl Shares {
    /// Takes over the teams of a configuration.
    pub fn configure(&mut self, catalog: Option<&catalog::Catalog>) {
        let Some(catalog) = catalog else { return };
        if self.version == Some(catalog.version) {
            return;
        }
        self.version = Some(catalog.version);
        let weights = catalog.teams.iter().map(|team| team.weight.min(MAX_WEIGHT));
        self.total_weight = weights.sum();
        self.mean_weight = self.total_weight / catalog.teams.len().max(1) as f64;
        let names: HashSet<&str> = catalog.teams.iter().map(|team| team.name.as_str()).collect();
        for (name, account) in &mut self.accounts {
            account.configured = names.contains(name.as_str());
        }
        for team in &catalog.teams {
            let account = self.account(&team.name);
            account.weight = team.weight.min(MAX_WEIGHT);
            account.limit = team.limit;
            account.configured = true;
        }
    }

    fn account(&mut self, team: &str) -> &mut Account {
        if !self.accounts.contains_key(team) {
            let account = Account {
                weight: if self.mean_weight > 0.0 {
                    self.mean_weight
                } else {
                    1.0
                },
                limit: resource::Amount::ZERO,
                configured: false,
                allowance: None,
                demand: Sum::default(),
                waiting: 0,
                excess: 0,
                widest: (0.0, Duration::ZERO),
                used: Sum::default(),
                share: 0.0,
                past: past::Average::default(),
                moved_at: None,
                reported: (false, Duration::ZERO),
            };
            self.accounts.insert(String::from(team), account);
        }
        self.accounts.get_mut(team).expect("the account was added")
    }

    /// Counts a job against the number that its team is owed, once. A job with a schedule does not count: its occurrences
    /// were accepted with it.
    pub fn count_job(&mut self, job: &cell::Job) {
        if job.is_final() {
            self.counted.remove(&job.key);
            return;
        }
        let Some(team) = &job.team else { return };
        if job.submission.schedule.is_some() || self.counted.contains_key(&job.key) {
            return;
        }
        let account = self.account(team);
        if !account.configured {
            return;
        }
        let weight = account.weight;
        let allowance = account
            .allowance
            .get_or_insert_with(|| rate::Allowance::new(weight, job.submitted_ms));
        let excess = allowance.count(weight, job.submitted_ms);
        self.counted.insert(job.key, excess);
    }

    /// Returns whether the capacity has to be measured again.
    pub fn needs_capacity(&self, now: Duration) -> bool {
        self.measured_at.is_none_or(|at| now >= at + CAPACITY_INTERVAL)
    }

    /// Sets the capacity of the fleet.
    pub const fn set_capacity(&mut self, now: Duration, capacity: Sum) {
        self.measured_at = Some(now);
        self.capacity = capacity;
    }

    /// Begins a new sum of the waiting work.
    pub fn begin(&mut self) {
        for account in self.accounts.values_mut() {
            account.demand = Sum::default();
            account.waiting = 0;
            account.excess = 0;
        }
    }

    /// Adds a waiting step to the work of its team.
    pub fn add_waiting(&mut self, job: &cell::Job, amount: &Sum) {
        let excess = self.is_excess(job.key);
        self.visits += 1;
        let account = self.account(job.team.as_deref().unwrap_or(NO_TEAM));
        add(&mut account.demand, amount);
        account.waiting += 1;
        account.excess += u32::from(excess);
    }

    /// Computes the fair shares from what the teams run and what waits.
    pub fn settle(&mut self, usage: &usage::Usage, now: Duration, wall_ms: u64) {
        let capacity = self.capacity;
        self.protects = false;
        self.visits += self.accounts.len() as u64;
        let mut claims = Vec::new();
        for (name, account) in &mut self.accounts {
            let used = if name.is_empty() {
                usage.unowned()
            } else {
                usage.used_by(name)
            };
            account.used = times(used, 1);
            account.share = dominant(&portion(&account.used, &capacity));
            if account.waiting > 0 {
                let has_owed = account.configured && account.has_room(wall_ms);
                self.protects |= has_owed;
            }
            let wanted = account.wanted();
            if wanted != Sum::default() {
                claims.push(level::Claim {
                    weight: account.weight,
                    wanted: portion(&wanted, &capacity),
                });
            }
            if now >= account.widest.1 {
                account.widest = (0.0, Duration::ZERO);
            }
        }
        self.level = level::compute(&claims);
        self.accounts.retain(|_, account| {
            account.configured || account.waiting > 0 || account.share > 0.0 || account.allowance.is_some()
        });
    }

    /// Notes that a step of a team was started, with what it uses and its expected end.
    pub fn note_started(&mut self, team: Option<&str>, amount: &Sum, now: Duration, end: Duration) {
        let capacity = self.capacity;
        let share = dominant(&portion(amount, &capacity));
        let account = self.account(team.unwrap_or(NO_TEAM));
        if share >= account.widest.0 || now >= account.widest.1 {
            account.widest = (share, end);
        }
        add(&mut account.used, amount);
        account.share = dominant(&portion(&account.used, &capacity));
    }

    /// Returns the position of a job's work after the starts of the pass. Within a pass, positions only become later.
    pub fn revise(&mut self, job: &cell::Job, position: u32) -> u32 {
        self.visits += 1;
        self.order_of_job(job).max(position)
    }

    fn is_excess(&self, key: job::Key) -> bool {
        self.counted.get(&key).copied().unwrap_or_default()
    }

    fn used_share(&self, account: &Account) -> Option<order::Use> {
        let fair = self.level? * account.weight;
        Some(order::Use {
            share: account.share,
            widest: account.widest.0.min(fair),
            fair,
        })
    }

    /// Returns the position of the work that a team is owed within its priority; smaller comes first.
    pub fn order(&self, team: Option<&str>) -> u32 {
        self.position(team, false)
    }

    /// Returns the position of a job's waiting work within its priority; smaller comes first.
    pub fn order_of_job(&self, job: &cell::Job) -> u32 {
        self.position(job.team.as_deref(), self.is_excess(job.key))
    }

    fn position(&self, team: Option<&str>, excess: bool) -> u32 {
        let account = self.accounts.get(team.unwrap_or(NO_TEAM));
        let used = account.and_then(|account| self.used_share(account));
        // If no team that is owed further jobs waits, the number of jobs distinguishes nobody, and all are ordered by
        // their shares.
        let excess = excess || !self.protects;
        used.map_or(order::WITHIN, |used| used.position(excess))
    }

    /// Continues a team's past use from a recorded value.
    pub fn inherit_past(&mut self, team: &str, past: f64, now: Duration) {
        self.account(team).past = past::Average::new(past, now);
    }

    /// Counts the use of each team up to now. It depends on the monotonic clock only.
    pub fn count_past(&mut self, now: Duration, half_life: Duration) {
        let decay = half_life.div_f64(std::f64::consts::LN_2);
        for account in self.accounts.values_mut() {
            account.past.update(now, decay, account.share);
        }
    }

    /// Returns the past use of the configured teams.
    pub fn past(&self) -> impl Iterator<Item = (&str, f64)> {
        let configured = self.accounts.iter().filter(|(_, account)| account.configured);
        configured.map(|(name, account)| (name.as_str(), account.past.value()))
    }

    /// Returns how far past use may move a team's waiting work, as a portion of the largest shift.
    pub fn past_excess(&self, team: Option<&str>) -> f64 {
        let account = team.and_then(|team| self.accounts.get(team));
        let account = account.filter(|account| account.configured && self.level.is_some());
        account.map_or(0.0, |account| {
            past::excess(
                account.past.value(),
                level::among(account.weight, self.total_weight),
            )
        })
    }

    /// Returns the past use of a team whose work it has moved, if the last report is old enough.
    pub fn take_moved(&mut self, team: &str, now: Duration) -> Option<f64> {
        let account = self.accounts.get_mut(team)?;
        if account.moved_at.is_some_and(|at| now < at + REPORT_INTERVAL) {
            return None;
        }
        account.moved_at = Some(now);
        Some(account.past.value())
    }

    /// Returns the number of accounts and waiting steps that were visited, for tests of its growth.
    pub const fn visits(&self) -> u64 {
        self.visits
    }

    /// Returns the shares of all teams, by name.
    pub fn all(&self) -> Vec<TeamShare> {
        let accounts = self.accounts.iter();
        let mut shares: Vec<TeamShare> = accounts
            .map(|(name, account)| self.describe(name, account))
            .collect();
        shares.sort_by(|left, right| left.team.cmp(&right.team));
        shares
    }

    /// Returns the shares of all teams if the last report is old enough.
    pub fn take_report(&mut self, now: Duration) -> Option<Vec<TeamShare>> {
        if self.reported_at.is_some_and(|at| now < at + REPORT_INTERVAL) {
            return None;
        }
        self.reported_at = Some(now);
        Some(self.all())
    }

    /// Returns whether work of a team is placed after that of teams within their share.
    fn places_later(&self, account: &Account) -> bool {
        self.used_share(account)
            .is_some_and(|used| used.ratio() >= 1.0 || (self.protects && account.excess > 0))
    }

    fn describe(&self, name: &str, account: &Account) -> TeamShare {
        TeamShare {
            team: String::from(name),
            weight: account.weight,
            share: account.share,
            fair: self.used_share(account).map(|used| used.fair),
            past: account.past.value(),
            waiting: account.waiting,
            excess: account.excess,
            beyond: self.places_later(account),
        }
    }

    /// Returns the teams that have passed their share, or returned to it, since the last report about them.
    pub fn take_changes(&mut self, now: Duration) -> Vec<TeamShare> {
        let is_changed = |account: &Account| {
            let (reported, at) = account.reported;
            let is_due = at.is_zero() || now >= at + REPORT_INTERVAL;
            is_due && self.places_later(account) != reported
        };
        let accounts = self.accounts.iter();
        let mut changes: Vec<TeamShare> = accounts
            .filter(|(_, account)| is_changed(account))
            .map(|(name, account)| self.describe(name, account))
            .collect();
        changes.sort_by(|left, right| left.team.cmp(&right.team));
        changes.truncate(MAX_REPORTS);
        for change in &changes {
            if let Some(account) = self.accounts.get_mut(&change.team) {
                account.reported = (change.beyond, now);
            }
        }
        changes
    }
}

impl Account {
    fn has_room(&self, wall_ms: u64) -> bool {
        let allowance = self.allowance.as_ref();
        allowance.is_none_or(|allowance| allowance.has_room(self.weight, wall_ms))
    }

    /// Returns what the team could use now: what it runs and what waits, up to its upper limit.
    fn wanted(&self) -> Sum {
        let used = self.used;
        let mut wanted = used;
        add(&mut wanted, &self.demand);
        let limit = times(self.limit, 1);
        for dimension in 0..DIMENSIONS {
            if limit[dimension] > 0 {
                wanted[dimension] = wanted[dimension].min(limit[dimension].max(used[dimension]));
            }
        }
        wanted
    }
}

/// Returns an amount as a portion of the capacity. A resource that the fleet does not have does not count.
fn portion(amount: &Sum, capacity: &Sum) -> Portion {
    let mut portion = Portion::default();
    for dimension in 0..DIMENSIONS {
        if capacity[dimension] > 0 {
            portion[dimension] = amount[dimension] as f64 / capacity[dimension] as f64;
        }
    }
    portion
}
