//! State that a new leader or a restarted process has to keep.

mod vm;

use bronzespoke_gateway::control::{Call, Claim, Claimed};
use bronzespoke_model::{event, id, job, task};

/// Guards against a new leader that places tasks on drained workers, because the drains were restored before the
/// workers.
#[tokio::test]
async fn a_new_leader_keeps_workers_drained() {
    const DRAINED: id::WorkerId = 7;
    const FREE: id::WorkerId = 8;
    let folder = tempfile::tempdir().expect("a folder");
    let vm = vm::Vm::start(folder.path()).await;
    let team = vm.create_team().await;
    vm.register(DRAINED).await;
    vm.register(FREE).await;
    vm.operate("drain worker 7").await;
    vm.stop().await;

    let vm = vm::Vm::start(folder.path()).await;
    // Two tasks that each fill a worker: one scheduling pass would start both if the drain were forgotten.
    vm.eventually(|reply| Call::Submit(team, None, vm::batch(2), reply))
        .await;
    let mut placed = Vec::new();
    for sequence in 1..100 {
        let (drained, free) = tokio::join!(
            vm.report(DRAINED, sequence, vm::Work::default()),
            vm.report(FREE, sequence, vm::Work::default()),
        );
        placed = started(&vm);
        let directed = [drained, free]
            .into_iter()
            .flatten()
            .any(|reply| !reply.directives.is_empty());
        if directed {
            break;
        }
    }
    assert_eq!(placed, [FREE]);
    vm.stop().await;
}

/// Guards against a job that fails everywhere and gets its full retry budget again with every change of leader.
#[tokio::test]
async fn a_new_leader_knows_the_failed_runs() {
    const WORKER: id::WorkerId = 7;
    /// Number of failed runs of a task after which its job fails.
    const BUDGET: usize = 4;
    let folder = tempfile::tempdir().expect("a folder");
    let vm = vm::Vm::start(folder.path()).await;
    let team = vm.create_team().await;
    vm.register(WORKER).await;
    let submit = |reply| Call::Submit(team, None, vm::batch(1), reply);
    let job = vm.eventually(submit).await;
    fail_runs(&vm, WORKER, BUDGET / 2).await;
    vm.stop().await;

    let vm = vm::Vm::start(folder.path()).await;
    vm.eventually(|reply| Call::Job(team, job, false, reply)).await;
    fail_runs(&vm, WORKER, BUDGET - BUDGET / 2).await;
    let status = vm.eventually(|reply| Call::Job(team, job, false, reply)).await;
    assert_eq!(status.state, job::State::Failed, "after {BUDGET} failed runs");
    vm.stop().await;
}

/// Guards against claims that stay in progress because their holder was an earlier incarnation of the leader itself,
/// and against ending claims that the current incarnation holds.
#[tokio::test]
async fn a_restarted_leader_ends_its_former_claims() {
    let folder = tempfile::tempdir().expect("a folder");
    let vm = vm::Vm::start(folder.path()).await;
    let team = vm.create_team().await;
    let claimed = claim(&vm, team, "former").await;
    assert!(matches!(claimed, Claimed::Granted(_)), "{claimed:?}");
    vm.stop().await;

    let vm = vm::Vm::start(folder.path()).await;
    let claimed = claim(&vm, team, "present").await;
    assert!(matches!(claimed, Claimed::Granted(_)), "{claimed:?}");
    assert_eq!(claim(&vm, team, "former").await, Claimed::Unknown);
    assert_eq!(claim(&vm, team, "present").await, Claimed::InProgress);
    vm.stop().await;
}

/// Claims a request id, and retries until a leader accepts the claim.
async fn claim(vm: &vm::Vm, team: id::TeamId, request: &str) -> Claimed {
    loop {
        let request = String::from(request);
        let claimed = vm.ask(|reply| Call::Claim(Claim { team, request }, reply)).await;
        if !matches!(claimed, Claimed::NotRun(_)) {
            return claimed;
        }
        tokio::time::sleep(vm::PAUSE).await;
    }
}

/// Fails the runs that a worker is directed to start, until `count` failures are recorded.
async fn fail_runs(vm: &vm::Vm, worker: id::WorkerId, mut count: usize) {
    const REPORTS: u64 = 100;
    let mut work = vm::Work::default();
    for sequence in 1..REPORTS {
        let ended = !work.ended.is_empty();
        let Ok(reply) = vm.report(worker, sequence, work).await else {
            tokio::time::sleep(vm::PAUSE).await;
            work = vm::Work::default();
            continue;
        };
        count -= usize::from(ended);
        if count == 0 {
            return;
        }
        work = vm::Work::default();
        for directive in reply.directives {
            if let task::Directive::Start { task, token, .. } = directive {
                work = vm::Work::failed(task, token);
            }
        }
    }
    panic!("{count} runs were not started");
}

/// Returns the workers on which tasks were started, in order.
fn started(vm: &vm::Vm) -> Vec<id::WorkerId> {
    let events = vm.events().into_iter();
    let starts = events.filter_map(|event| match event {
        event::Kind::TaskStarted { worker, .. } => Some(worker),
        _ => None,
    });
    starts.collect()
}
