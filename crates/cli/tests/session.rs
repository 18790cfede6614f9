//! Guards against commands that are executed twice, or lost without an error, when daemons fail or answers are lost.

use std::{
    io::Write,
    net::SocketAddr,
    process::{Command, Stdio},
    sync::Arc,
    time::Duration,
};

use bronzespoke_cli::session;
use bronzespoke_language::answer;
use bronzespoke_rpc::command;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use yare::parameterized;

mod common;

const TIMEOUT: Duration = Duration::from_secs(5);
const ID: command::Id = command::Id(0x1234);
const LINE: &str = "create service diploma";

fn done() -> answer::Answer {
    answer::Answer::text("created")
}

/// Returns a loopback address that refuses connections.
fn closed() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound socket")
}

/// Starts a proxy that forwards requests to `daemon` but drops the first answer.
async fn lose_first_answer(daemon: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    tokio::spawn(async move {
        let mut lost = false;
        while let Ok((mut client, _)) = listener.accept().await {
            let mut server = TcpStream::connect(daemon).await.expect("the daemon serves");
            if lost {
                tokio::io::copy_bidirectional(&mut client, &mut server)
                    .await
                    .expect("both sides end");
            } else {
                lost = forward_requests(&mut client, &mut server).await;
            }
        }
    });
    address
}

/// Forwards bytes to the server until the client closes its connection or the server answers. Returns whether the
/// server answered.
async fn forward_requests(client: &mut TcpStream, server: &mut TcpStream) -> bool {
    let mut request = [0; 4096];
    let mut answer = [0; 4096];
    loop {
        tokio::select! {
            length = client.read(&mut request) => match length {
                Ok(length) if length > 0 => server.write_all(&request[..length]).await.expect("the daemon reads"),
                Ok(_) | Err(_) => return false,
            },
            length = server.read(&mut answer) => return length.expect("the daemon answers") > 0,
        }
    }
}

#[tokio::test]
async fn lost_answer_is_resent_with_the_same_id() {
    let daemon = common::Daemon::new("a", done());
    let received = Arc::clone(&daemon.received);
    let (address, _handle) = daemon.start().await;
    let proxy = lose_first_answer(address).await;
    let mut session = session::Session::new(vec![proxy], TIMEOUT);
    let answer = session.execute(LINE, Some(ID)).await;
    assert_eq!(answer, done());
    let sent = (String::from(LINE), Some(ID));
    assert_eq!(*common::lock(&received), vec![sent.clone(), sent]);
}

#[tokio::test]
async fn next_address_is_tried_with_the_same_id() {
    let unavailable = answer::Answer::error(answer::Code::Unavailable, "there is no leader");
    let first = common::Daemon::new("a", unavailable);
    let second = common::Daemon::new("b", done());
    let received = [Arc::clone(&first.received), Arc::clone(&second.received)];
    let (first, _first_handle) = first.start().await;
    let (second, _second_handle) = second.start().await;
    let mut session = session::Session::new(vec![closed(), first, second], TIMEOUT);
    assert_eq!(session.execute(LINE, Some(ID)).await, done());
    for received in received {
        assert_eq!(*common::lock(&received), vec![(String::from(LINE), Some(ID))]);
    }
}

/// Guards against a refused command that is retried at other daemons.
#[tokio::test]
async fn refusal_is_final() {
    let refusal = answer::Answer::error(answer::Code::Exists, "the name is taken");
    let first = common::Daemon::new("a", refusal.clone());
    let second = common::Daemon::new("b", done());
    let received = Arc::clone(&second.received);
    let (first, _first_handle) = first.start().await;
    let (second, _second_handle) = second.start().await;
    let mut session = session::Session::new(vec![first, second], TIMEOUT);
    assert_eq!(session.execute(LINE, Some(ID)).await, refusal);
    assert!(common::lock(&received).is_empty());
}

/// Guards against the message "not done" for a command that a daemon may have executed, and against the opposite.
#[parameterized(
    unconfirmed = { Some(answer::Code::Unconfirmed), answer::Code::Unconfirmed,
        "resend it with --command-id 00000000000000000000000000001234" },
    unavailable = { Some(answer::Code::Unavailable), answer::Code::Unavailable, "was not done" },
    nobody = { None, answer::Code::Unavailable, "was not done" },
)]
#[test_macro(tokio::test)]
async fn last_answer_says_whether_the_command_may_be_done(
    first: Option<answer::Code>,
    code: answer::Code,
    message: &str,
) {
    let mut addresses = vec![closed()];
    let mut handles = Vec::new();
    if let Some(first) = first {
        let (address, handle) = common::Daemon::new("a", answer::Answer::error(first, "a cause"))
            .start()
            .await;
        addresses.insert(0, address);
        handles.push(handle);
    }
    let answer = session::Session::new(addresses, TIMEOUT)
        .execute(LINE, Some(ID))
        .await;
    let answer::Answer::Error(error) = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(error.code, code);
    assert!(error.message.contains(message), "{error:?}");
}

/// Guards against an exit status or output from which a script cannot determine the result.
#[tokio::test(flavor = "multi_thread")]
async fn program_prints_json_and_ends_with_the_status() {
    let refusal = answer::Answer::error(answer::Code::NotFound, "there is no team `a`");
    let daemon = common::Daemon::new("a", refusal);
    let received = Arc::clone(&daemon.received);
    let (address, _handle) = daemon.start().await;
    let run = move || {
        Command::new(env!("CARGO_BIN_EXE_bronzespoke"))
            .args(["--json", "-c", "cancel jobs of team a", "--command-id", "ab"])
            .env("BRONZESPOKE_ADDRESS", address.to_string())
            .output()
            .expect("the program runs")
    };
    let output = tokio::task::spawn_blocking(run).await.expect("the program ends");
    let expected = concat!(
        r#"{"command_id":"000000000000000000000000000000ab","answer":"error","#,
        r#""code":"not_found","message":"there is no team `a`"}"#,
        "\n"
    );
    assert_eq!(String::from_utf8_lossy(&output.stdout), expected);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(
        errors.contains("bronzespoke: not found: there is no team `a`"),
        "{errors}"
    );
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(common::lock(&received)[0].1, Some(command::Id(0xab)));
}

/// Guards against a script that continues after a failure, or whose error does not name the line.
#[tokio::test(flavor = "multi_thread")]
async fn script_stops_at_the_first_failure() {
    let daemon = common::Daemon::new("a", done());
    let received = Arc::clone(&daemon.received);
    let (address, _handle) = daemon.start().await;
    let run = move || {
        let mut child = Command::new(env!("CARGO_BIN_EXE_bronzespoke"))
            .args(["--address", &address.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program runs");
        let script =
            "# services\n\ncreate service a\r\ncreate service b\ncreate service B\ncreate service c\n";
        let mut input = child.stdin.take().expect("it is piped");
        input.write_all(script.as_bytes()).expect("the program reads");
        drop(input);
        child.wait_with_output().expect("the program ends")
    };
    let output = tokio::task::spawn_blocking(run).await.expect("the program ends");
    assert_eq!(String::from_utf8_lossy(&output.stdout), "created\ncreated\n");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(
        errors.contains("line 5: ") && errors.contains("column 16: found `B`"),
        "{errors}"
    );
    assert_eq!(output.status.code(), Some(2));
    let received = common::lock(&received);
    assert_eq!(
        received.iter().map(|(line, _)| line.as_str()).collect::<Vec<_>>(),
        ["create service a", "create service b"]
    );
    assert_ne!(received[0].1, received[1].1, "each command has its own id");
}
