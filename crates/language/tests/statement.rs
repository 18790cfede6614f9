//! Guards against statements whose rendering does not parse into the same statement.

use bronzespoke_language::{parse, statement};
use yare::parameterized;

const HASH: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

#[parameterized(
    tasks = { "show tasks" },
    tasks_filtered = { "show tasks where team=kodokan job=281474976710657 worker=12 zone=3 state=stopping" },
    jobs = { "show jobs where team=kodokan zone=1 state=impossible" },
    teams = { "show teams" },
    keys = { "show keys where team=kodokan" },
    holdings = { "show holdings where zone=2" },
    targets = { "show targets where service=diploma zone=2 state=probation" },
    workers = { "show workers where state=lost" },
    services = { "show services" },
    queues = { "show queues" },
    config = { "show config" },
    versions = { "show versions" },
    members = { "show members" },
    old_callers = { "show old-callers" },
    why = { "why job 18446744073709551615" },
    create_team = { "create team kodokan weight=3 cpu=64 memory=4GiB accelerators=0 requests=200" },
    set_team = { "set team kodokan cpu=2.5 memory=512MiB" },
    set_weight = { "set team kodokan weight=10000" },
    grant = { "grant key to team kodokan" },
    grant_hash = { &format!("grant key to team kodokan hash={HASH}") },
    withdraw = { "withdraw key 00112233" },
    create_service = { "create service diploma" },
    create_queue = { "create queue open-checks service=diploma requests=20" },
    drain_worker = { "drain worker 7" },
    drain_target = { "drain target 7" },
    drain_vm = { "drain vm 7" },
    undrain = { "undrain worker 7" },
    set_config = { "set config request_deadline=1m30s request_body=64KiB retry_percent=0 \
        remote_bytes_per_second=256KiB version_one=off preemptions_per_second=0 recovery_starts_per_second=1 \
        expect 12" },
    set_config_one = { "set config version_one=on expect 0" },
    cancel_job = { "cancel job 9" },
    cancel_jobs = { "cancel jobs of team kodokan" },
    add_root = { "add member 5 to group root" },
    add_zone = { "add member 5 to group zone 3" },
    remove = { "remove member 5 from group zone 0" },
    declare = { "declare zone 2 lost" },
)]
fn canonical_text_round_trips(line: &str) {
    let statement = parse(line).expect("the line is a statement");
    assert_eq!(statement.to_string(), line);
    let json = serde_json::to_string(&statement).expect("plain data");
    let read = serde_json::from_str::<statement::Statement>(&json).expect("written above");
    assert_eq!(read, statement);
}

#[parameterized(
    spaces = { "  show \t teams  ", "show teams" },
    order = { "set team a-1 requests=5 weight=2", "set team a-1 weight=2 requests=5" },
    milli = { "set team a cpu=2500m", "set team a cpu=2.5" },
    small_unit = { "set team a memory=4096MiB", "set team a memory=4GiB" },
    zero = { "set team a memory=0GiB", "set team a memory=0MiB" },
    upper_case_hash = { "withdraw key AABBCCDD", "withdraw key aabbccdd" },
)]
fn other_spellings_become_canonical(line: &str, canonical: &str) {
    assert_eq!(
        parse(line).expect("the line is a statement").to_string(),
        canonical
    );
}
