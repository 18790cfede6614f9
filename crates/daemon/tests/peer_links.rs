//! Links of hostile clients at the listener for frames.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bronzespoke_daemon::peer::{Network, fault, links, wire};
use bronzespoke_model::stamp;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Handle,
    time,
};
use tokio_util::sync::CancellationToken;

/// Links that announce a frame and do not send it.
const HOSTILE: usize = 200;
/// Upper bound on the hostile links that may stay open.
const OPEN: usize = 80;
/// Maximum wait for something that takes milliseconds on an idle machine.
const TIMEOUT: Duration = Duration::from_secs(30);

fn frame(from: SocketAddr) -> Vec<u8> {
    let frame = wire::Frame {
        from: 1,
        to: None,
        from_peer: from,
        stamp: stamp::Stamp::default(),
        body: wire::Body::Reply(1, wire::Reply::Done),
    };
    let body = wire::encode(&frame).expect("frames can be encoded");
    [(body.len() as u32).to_be_bytes().as_slice(), &body].concat()
}

/// Guards against links that announce large frames, stop just short of their end and stay open: every one held a buffer
/// of 1 MiB for up to 30 s, without a bound on their number.
#[tokio::test]
async fn links_without_a_frame_are_bounded_and_keep_no_peer_out() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the address is known");
    let cancel = CancellationToken::new();
    let (_network, mut received) = Network::start(
        Handle::current(),
        listener,
        fault::Switch::default(),
        cancel.clone(),
    );
    let mut peer = TcpStream::connect(address).await.expect("the listener accepts");
    peer.write_all(&frame(address)).await.expect("the link is open");
    received.recv().await.expect("the frame of an early peer arrives");
    let mut hostile = Vec::new();
    for _ in 0..HOSTILE {
        let mut stream = TcpStream::connect(address).await.expect("the listener accepts");
        stream
            .write_all(&(1_u32 << 20).to_be_bytes())
            .await
            .expect("a length is written");
        // The listener may have closed the link.
        drop(stream.write_all(&[0; 1_000]).await);
        hostile.push(stream);
    }
    let mut other = TcpStream::connect(address).await.expect("the listener accepts");
    other.write_all(&frame(address)).await.expect("the link is open");
    peer.write_all(&frame(address))
        .await
        .expect("the link of an early peer stays");
    for _ in 0..2 {
        let frame = time::timeout(TIMEOUT, received.recv()).await;
        assert!(matches!(frame, Ok(Some(_))), "a peer's frame does not arrive");
    }
    let begun = Instant::now();
    let mut open = hostile.len();
    while open > OPEN && begun.elapsed() < Duration::from_secs(5) {
        let mut kept = Vec::new();
        for mut stream in hostile {
            let mut byte = [0];
            if time::timeout(Duration::from_millis(5), stream.read(&mut byte))
                .await
                .is_err()
            {
                kept.push(stream);
            }
        }
        hostile = kept;
        open = hostile.len();
    }
    cancel.cancel();
    assert!(open <= OPEN, "{open} hostile links are open");
}

/// Guards against links that stop within their second frame: each held a buffer of 1 MiB and a descriptor for 30 s, and
/// once the sum is bounded, no announcement may wait for theirs to end.
#[tokio::test]
async fn links_that_stop_after_a_frame_keep_no_announcement_out() {
    const LINKS: usize = 100;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the address is known");
    let cancel = CancellationToken::new();
    let (_network, mut received) = Network::start_within(
        Handle::current(),
        listener,
        fault::Switch::default(),
        links::Limits {
            links: LINKS,
            held_bytes: 4 << 20,
        },
        cancel.clone(),
    );
    let mut hostile = Vec::new();
    for _ in 0..HOSTILE {
        let mut stream = TcpStream::connect(address).await.expect("the listener accepts");
        let second = [(1_u32 << 20).to_be_bytes().as_slice(), &vec![0; 100_000]].concat();
        let sent = [frame(address), second].concat();
        // The listener may have closed the link.
        drop(time::timeout(TIMEOUT, stream.write_all(&sent)).await);
        let first = time::timeout(TIMEOUT, received.recv()).await;
        assert!(matches!(first, Ok(Some(_))), "the first frame does not arrive");
        hostile.push(stream);
    }
    let mut peer = TcpStream::connect(address).await.expect("the listener accepts");
    for _ in 0..3 {
        peer.write_all(&frame(address)).await.expect("the link is open");
        let announced = time::timeout(TIMEOUT, received.recv()).await;
        assert!(matches!(announced, Ok(Some(_))), "a peer's frame does not arrive");
    }
    let begun = Instant::now();
    while hostile.len() > LINKS && begun.elapsed() < TIMEOUT {
        let mut kept = Vec::new();
        for mut stream in hostile {
            let mut byte = [0];
            let read = time::timeout(Duration::from_millis(5), stream.read(&mut byte));
            if read.await.is_err() {
                kept.push(stream);
            }
        }
        hostile = kept;
    }
    cancel.cancel();
    assert!(hostile.len() <= LINKS, "{} hostile links are open", hostile.len());
}
