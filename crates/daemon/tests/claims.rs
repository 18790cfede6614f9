//! Claims of request ids at the group of another zone, whose leader the test simulates.

mod vm;

use bronzespoke_control::zone;
use bronzespoke_daemon::peer::wire;
use bronzespoke_gateway::control::{Call, Claim, Claimed, Completion, StoredResponse};
use bronzespoke_model::id;
use bytes::Bytes;
use tokio::sync::oneshot::{self, error::TryRecvError};

/// Number under which the simulated leader grants every claim.
const GRANT: u64 = 5;

/// Guards against answering a submission before the job is recorded under the submission id: a resend that arrives in
/// between would be refused because the submission is still in progress.
#[tokio::test]
async fn a_submission_is_recorded_before_it_is_answered() {
    const JOB: id::JobId = 1234;
    let folder = tempfile::tempdir().expect("a folder");
    let vm = vm::Vm::start(folder.path()).await;
    let team = vm.create_team().await;
    let mut owner = vm::Leader::start(&vm).await;
    let (sender, mut receiver) = oneshot::channel();
    let submission = Some(vm::owned(team, "job "));
    vm.call(Call::Submit(team, submission, vm::batch(1), sender))
        .await;
    // The home zone is the VM's own or the simulated one; the claim is made at the simulated one in either case.
    let number = loop {
        let (number, command) = owner.command(&vm).await;
        let outcome = match command {
            zone::Command::Claim { .. } => zone::Outcome::Claim(zone::Claimed::Granted(GRANT)),
            zone::Command::Submit { .. } => zone::Outcome::Job(JOB),
            zone::Command::Complete { .. } => break number,
            other => panic!("{other:?}"),
        };
        owner.done(&vm, number, outcome).await;
    };
    assert_eq!(receiver.try_recv(), Err(TryRecvError::Empty));
    owner.done(&vm, number, zone::Outcome::Done).await;
    receiver.await.expect("an answer").expect("the job is accepted");
    vm.stop().await;
}

/// Guards against dropping the end of a claim because the leader of the owner refused it: the id would stay in
/// progress, and a resend would get no response.
#[tokio::test]
async fn the_end_of_a_claim_is_sent_until_it_is_recorded() {
    const REFUSALS: usize = 3;
    let folder = tempfile::tempdir().expect("a folder");
    let vm = vm::Vm::start(folder.path()).await;
    let team = vm.create_team().await;
    let mut owner = vm::Leader::start(&vm).await;
    let request = vm::owned(team, "");
    let claim = Claim { team, request };
    let (sender, receiver) = oneshot::channel();
    vm.call(Call::Claim(claim.clone(), sender)).await;
    let (number, _) = owner.command(&vm).await;
    let granted = zone::Outcome::Claim(zone::Claimed::Granted(GRANT));
    owner.done(&vm, number, granted).await;
    let Ok(Claimed::Granted(claimed)) = receiver.await else {
        panic!("the claim is granted");
    };
    let answer = StoredResponse {
        status: 200,
        content_type: String::from("text/plain"),
        body: Bytes::from("diploma"),
    };
    let (sender, mut receiver) = oneshot::channel();
    let end = Call::Complete(claim, claimed, Completion::Answered(answer), sender);
    vm.call(end).await;
    for _ in 0..REFUSALS {
        let number = completion(&mut owner, &vm).await;
        let refusal = wire::Reply::NotDone(String::from("the log does not take commands now"));
        owner.send_reply(&vm, number, refusal).await;
    }
    let number = completion(&mut owner, &vm).await;
    assert_eq!(receiver.try_recv(), Err(TryRecvError::Empty));
    owner.done(&vm, number, zone::Outcome::Done).await;
    // The end of the wait is signalled by dropping the sender.
    receiver.await.expect_err("nothing is sent");
    vm.stop().await;
}

/// Waits for the next end of the claim; resent claims are ignored.
async fn completion(owner: &mut vm::Leader, vm: &vm::Vm) -> u64 {
    loop {
        let (number, command) = owner.command(vm).await;
        if matches!(command, zone::Command::Complete { number: GRANT, .. }) {
            return number;
        }
    }
}
