//! Tests of the TCP and UDP relays.

use std::net::SocketAddr;
use std::time::Duration;

use corianderyoke_standin::relay::tcp;
use corianderyoke_standin::relay::udp;
use corianderyoke_standin::relay::Flow;
use corianderyoke_standin::relay::Limits;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::time::timeout;

/// Time during which no data must arrive.
const QUIET_PERIOD: Duration = Duration::from_millis(100);
/// Upper bound on the wait for expected data.
const TIMEOUT: Duration = Duration::from_secs(20);

async fn tcp_echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    address
}

async fn udp_echo() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let address = socket.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut buffer = [0; 64];
        while let Ok((size, sender)) = socket.recv_from(&mut buffer).await {
            let _ = socket.send_to(&buffer[..size], sender).await;
        }
    });
    address
}

async fn relay(target: SocketAddr, limits: Limits) -> tcp::Relay {
    let settings = tcp::Settings { target, limits, ..tcp::Settings::default() };
    tcp::Relay::start(settings).await.expect("relay")
}

/// Sends `text` and reads the echo; none if the connection is closed.
async fn echo(stream: &mut TcpStream, text: &str) -> Option<String> {
    stream.write_all(text.as_bytes()).await.ok()?;
    let mut buffer = vec![0; text.len()];
    stream.read_exact(&mut buffer).await.ok()?;
    String::from_utf8(buffer).ok()
}

async fn connect(relay: &tcp::Relay) -> TcpStream {
    TcpStream::connect(relay.address()).await.expect("connected")
}

#[tokio::test]
async fn silent_connections_stay_open_and_can_resume() {
    let relay = relay(tcp_echo().await, Limits::default()).await;
    let mut old = connect(&relay).await;
    assert_eq!(echo(&mut old, "one").await.as_deref(), Some("one"));
    relay.set_existing(Flow::Silent);
    old.write_all(b"two").await.expect("write to the socket buffer");
    let mut buffer = [0; 3];
    assert!(timeout(QUIET_PERIOD, old.read_exact(&mut buffer)).await.is_err());
    assert_eq!(echo(&mut connect(&relay).await, "new").await.as_deref(), Some("new"));
    relay.set_existing(Flow::Pass);
    timeout(TIMEOUT, old.read_exact(&mut buffer)).await.expect("in time").expect("bytes");
    assert_eq!(&buffer, b"two");
}

#[tokio::test]
async fn cut_closes_passing_and_silent_connections() {
    let relay = relay(tcp_echo().await, Limits::default()).await;
    let mut passing = connect(&relay).await;
    let mut silent = connect(&relay).await;
    assert!(echo(&mut passing, "one").await.is_some());
    assert!(echo(&mut silent, "one").await.is_some());
    relay.set_existing(Flow::Silent);
    relay.set_existing(Flow::Cut);
    for stream in [&mut passing, &mut silent] {
        let closed = timeout(TIMEOUT, echo(stream, "two")).await.expect("in time");
        assert_eq!(closed, None);
    }
    assert!(echo(&mut connect(&relay).await, "new").await.is_some());
}

#[tokio::test]
async fn connections_over_the_limit_or_after_stop_are_closed() {
    let limits = Limits { connections: 1, ..Limits::default() };
    let relay = relay(tcp_echo().await, limits).await;
    let mut first = connect(&relay).await;
    assert!(echo(&mut first, "one").await.is_some());
    let mut second = connect(&relay).await;
    assert_eq!(timeout(TIMEOUT, echo(&mut second, "two")).await.expect("in time"), None);
    relay.stop();
    relay.stopped().await;
    assert_eq!(echo(&mut first, "three").await, None);
    assert!(TcpStream::connect(relay.address()).await.is_err());
}

#[tokio::test]
async fn flow_of_existing_udp_senders_can_be_changed() {
    let target = udp_echo().await;
    let settings = udp::Settings { target, ..udp::Settings::default() };
    let relay = udp::Relay::start(settings).await.expect("relay");
    let new_sender = || async {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        socket.connect(relay.address()).await.expect("connected");
        socket
    };
    let old = new_sender().await;
    let mut buffer = [0; 64];
    old.send(b"one").await.expect("sent");
    assert_eq!(timeout(TIMEOUT, old.recv(&mut buffer)).await.expect("in time").ok(), Some(3));
    relay.set_existing(Flow::Silent);
    old.send(b"two").await.expect("sent");
    assert!(timeout(QUIET_PERIOD, old.recv(&mut buffer)).await.is_err());
    let new = new_sender().await;
    new.send(b"three").await.expect("sent");
    assert_eq!(timeout(TIMEOUT, new.recv(&mut buffer)).await.expect("in time").ok(), Some(5));
    relay.set_existing(Flow::Cut);
    old.send(b"four").await.expect("sent");
    assert_eq!(timeout(TIMEOUT, old.recv(&mut buffer)).await.expect("in time").ok(), Some(4));
}
