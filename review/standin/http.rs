//! HTTP/1.1 client and server over loopback.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Status with which a handler ends the connection without an answer.
pub const SILENT: u16 = 0;

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// Reads the start line, the headers and the body.
fn read_message(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>, String)> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let start = line.trim_end().to_string();
    let mut headers = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().ok()?;
        }
        headers.push((name.to_string(), value.trim().to_string()));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((start, headers, String::from_utf8_lossy(&body).into_owned()))
}

/// Sends a request on a connection of its own; returns the status and the body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Result<(u16, String), String> {
    let failed = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect_timeout(&address, timeout).map_err(failed)?;
    stream.set_read_timeout(Some(timeout)).map_err(failed)?;
    stream.set_write_timeout(Some(timeout)).map_err(failed)?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        text += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        text += "Content-Type: application/json\r\n";
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).map_err(failed)?;
    let mut reader = BufReader::new(stream);
    let (start, _, body) = read_message(&mut reader).ok_or("no response")?;
    let status = start.split(' ').nth(1).and_then(|status| status.parse().ok());
    Ok((status.ok_or("no status")?, body))
}

/// A server; closing it closes its connections, as the end of its process would.
pub struct Server {
    pub address: SocketAddr,
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(&Request) -> (u16, String) + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let closed = Arc::new(AtomicBool::new(false));
        let streams = Arc::new(Mutex::new(Vec::new()));
        let handler = Arc::new(handler);
        let (is_closed, open) = (Arc::clone(&closed), Arc::clone(&streams));
        thread::spawn(move || {
            while !is_closed.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).ok();
                stream.set_nodelay(true).ok();
                let Ok(copy) = stream.try_clone() else { continue };
                open.lock().unwrap().push(copy);
                let handler = Arc::clone(&handler);
                let is_closed = Arc::clone(&is_closed);
                thread::spawn(move || serve(stream, handler.as_ref(), &is_closed));
            }
        });
        Ok(Self {
            address,
            closed,
            streams,
        })
    }

    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            stream.shutdown(std::net::Shutdown::Both).ok();
        }
    }
}

fn serve(stream: TcpStream, handler: &dyn Fn(&Request) -> (u16, String), closed: &AtomicBool) {
    let Ok(mut output) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some((start, headers, body)) = read_message(&mut reader) {
        let mut words = start.split(' ');
        let request = Request {
            method: words.next().unwrap_or_default().to_string(),
            path: words.next().unwrap_or_default().to_string(),
            headers,
            body,
        };
        let (status, body) = handler(&request);
        if closed.load(Ordering::SeqCst) || status == SILENT {
            output.shutdown(std::net::Shutdown::Both).ok();
            return;
        }
        let text = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if output.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}
