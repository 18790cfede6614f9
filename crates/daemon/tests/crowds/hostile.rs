//! Hostile clients beside those of `load`.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    task::JoinSet,
    time,
};

/// Receive buffer of a client that does not read, so that its response stays in the daemon.
const RECEIVE_BYTES: u32 = 4096;
/// Time after which a connection whose peer does not read is left as it is.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause of a client that connects again.
const RETURN_PAUSE: Duration = Duration::from_millis(100);
/// Time in which a daemon computes the responses of the crowd.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// What each hostile connection does.
#[derive(Debug, Clone)]
pub enum Hostile {
    /// Sends nothing.
    Silent,
    /// Sends nothing, and connects again whenever it is closed.
    Returning,
    /// Sends a request or its begin, and then nothing.
    SilentAfter { request: String },
    /// Sends a request several times and does not read the responses.
    Unread { request: String, times: usize },
}

/// Returns an operator's request with this body.
pub fn operator(body: &str) -> String {
    format!("{}content-length: {}\r\n\r\n{body}", super::RPC, body.len())
}

/// Returns an operator's request whose body lacks its last byte.
pub fn stalled(body: &str) -> String {
    let mut request = operator(body);
    request.pop();
    request
}

/// Returns the largest batch of a call.
pub fn batch(call: &str) -> String {
    let count = (super::RPC_BODY_BYTES - 2) / (call.len() + 1);
    format!("[{}]", vec![call; count].join(","))
}

async fn return_always(address: SocketAddr) {
    loop {
        if let Ok(mut stream) = TcpStream::connect(address).await {
            // A reset ends the connection like a close.
            drop(stream.read_u8().await);
        }
        time::sleep(RETURN_PAUSE).await;
    }
}

impl Hostile {
    /// Opens the connections; returns those that are open after the load.
    pub async fn send(&self, connections: usize, address: SocketAddr) -> Vec<TcpStream> {
        if matches!(self, Self::Returning) {
            for _ in 0..connections {
                // It ends with the runtime of the test.
                drop(tokio::spawn(return_always(address)));
            }
            time::sleep(SETTLE_TIME).await;
            return Vec::new();
        }
        let mut clients = JoinSet::new();
        for _ in 0..connections {
            let hostile = self.clone();
            clients.spawn(async move { hostile.connect(address).await.ok() });
        }
        let held = clients.join_all().await.into_iter().flatten().collect();
        time::sleep(SETTLE_TIME).await;
        held
    }

    async fn connect(self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        let (request, times) = match self {
            Self::Silent | Self::Returning => (String::new(), 0),
            Self::SilentAfter { request } => (request, 1),
            Self::Unread { request, times } => {
                socket.set_recv_buffer_size(RECEIVE_BYTES)?;
                (request, times)
            }
        };
        let mut stream = socket.connect(address).await?;
        for _ in 0..times {
            match time::timeout(WRITE_TIMEOUT, stream.write_all(request.as_bytes())).await {
                Ok(written) => written?,
                Err(_elapsed) => break,
            }
        }
        Ok(stream)
    }
}
