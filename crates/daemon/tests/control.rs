//! Decisions of the control thread that outlive a process or a leader.

mod vm;

use bronzespoke_gateway::control::Call;
use bronzespoke_model::{event, id};

/// Guards against a new leader that places tasks on drained workers, because it was told of the drains before it knew
/// the workers.
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
    // Two tasks that each fill a worker: one pass would start both if the drain were forgotten.
    vm.eventually(|reply| Call::Submit(team, None, vm::batch(2), reply))
        .await;
    let mut placed = Vec::new();
    for sequence in 1..100 {
        let (drained, free) = tokio::join!(
            vm.report(DRAINED, sequence, vm::Work::default()),
            vm.report(FREE, sequence, vm::Work::default()),
        );
        placed = started(&vm);
        let told = [drained, free]
            .into_iter()
            .flatten()
            .any(|reply| !reply.directives.is_empty());
        if told {
            break;
        }
    }
    assert_eq!(placed, [FREE]);
    vm.stop().await;
}

/// Workers on which tasks were started, in order.
fn started(vm: &vm::Vm) -> Vec<id::WorkerId> {
    let events = vm.events().into_iter();
    let starts = events.filter_map(|event| match event {
        event::Kind::TaskStarted { worker, .. } => Some(worker),
        _ => None,
    });
    starts.collect()
}
