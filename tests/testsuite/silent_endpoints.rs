//! Sound endpoints that fall silent for a second or so and go on.

use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::sync::mpsc::Receiver;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::BytesMut;
use futures_util::future::join;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use vaneway_server::core::endpoints::upstream::ConnectionPool;
use vaneway_server::core::endpoints::upstream::MIN_REST;
use vaneway_server::core::endpoints::upstream::PEER_TIMEOUT;
use vaneway_server::core::endpoints::upstream::Reuse;
use vaneway_server::core::endpoints::upstream::SendError;
use vaneway_server::util::clock;
use vaneway_server::util::socket;
use vaneway_server::util::socket::PeerTimeouts;
use vaneway_server::util::timers::Timers;
use vaneway_test_support::Caller;
use vaneway_test_support::ControlGroup;
use vaneway_test_support::Proxy;
use vaneway_test_support::WireEndpoint;
use vaneway_test_support::wire_endpoint::Behaviour;
use vaneway_test_support::wire_endpoint::events;

use crate::platform_path::HOST;
use crate::platform_path::KEY;
use crate::platform_path::configuration;
use crate::platform_path::stream_headers;
use crate::support::block_on;

/// How long a sound endpoint may be silent.
const SILENCE: Duration = Duration::from_millis(1_500);

/// A whole response without a body, after which the connection may be used again.
const EMPTY_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// Guards against requests that are broken off, or sent to another endpoint, because their endpoint
/// is silent for a second or so.
#[test]
fn request_outlasts_an_endpoint_that_is_silent_for_a_while() {
    let program = Path::new(env!("CARGO_BIN_EXE_vaneway"));
    let control = ControlGroup::start_adapted(program, 1, Some("platform"));
    let entry = control.start_entry("entry-0");
    let endpoint = WireEndpoint::spawn("i-a");
    let path = Proxy::tcp(endpoint.address());
    control.configure(&configuration(1));
    let (url, body) = endpoint.heartbeat_with_address(path.address(), "maps", "ready", 1);
    control.call(0, "POST", &url, &body).expect("the control box responds");
    entry.wait_for_log(&["event=configured", "version=1"]);
    entry.wait_for_log(&["event=endpoint", "replica=i-a"]);
    endpoint.behave(Behaviour::Steady);

    let caller = Caller::new(entry.listen(), KEY).with_host(HOST);
    let (stream, once) = block_on(async {
        let headers = stream_headers("stream");
        let mut stream = caller.open(Method::POST, "/fixed/x", &headers, "b".to_owned()).await;
        stream.events(2).await;
        path.freeze(true);
        let headers = [("x-request-id", "once"), ("x-deadline-ms", "3000")];
        let once = caller.send_with(Method::POST, "/once/x", &headers, "b");
        let thaw = async {
            compio::time::sleep(SILENCE).await;
            path.freeze(false);
        };
        let (once, ()) = join(once, thaw).await;
        (stream.finish().await, once)
    });
    assert_eq!((stream.status, stream.complete), (200, true));
    assert!(events(0).ends_with(&*String::from_utf8_lossy(&stream.body)), "no event is missing");
    assert_eq!(once.status, 200);
    assert_eq!((endpoint.runs("stream"), endpoint.runs("once")), (1, 1));
}

/// Guards against a connection to a sound endpoint that the operating system ends within such a
/// silence: while data is unacknowledged, or, since the user timeout decides on probes too, after a
/// single probe.
#[test]
fn operating_system_bears_a_silence_of_an_endpoint_and_of_one_probe() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let timeouts = block_on(async {
        let stream = socket::connect(address).await.expect("the listener accepts");
        stream.set_peer_timeout(PEER_TIMEOUT).expect("options can be set");
        stream.peer_timeouts().expect("options can be read")
    });
    let PeerTimeouts { user_timeout, first_probe, probe_interval } = timeouts;
    let user_timeout = user_timeout.expect("a user timeout");
    assert!(user_timeout > SILENCE, "{timeouts:?}");
    assert!(first_probe + probe_interval > SILENCE, "{timeouts:?}");
    assert!(user_timeout >= first_probe + probe_interval, "a lost probe is repeated: {timeouts:?}");
}

/// Serves one request on each of two connections, and closes each some time after its answer without
/// having announced it.
fn serve_two(pause: Duration) -> (SocketAddr, Receiver<()>, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let (closed, is_closed) = std::sync::mpsc::channel();
    let server = std::thread::spawn(move || {
        for _ in 0..2 {
            let (mut connection, _) = listener.accept().expect("a connection");
            let mut request = [0; 1_024];
            let length = connection.read(&mut request).expect("a request");
            assert!(length > 0, "the connection ended without a request");
            connection.write_all(EMPTY_ANSWER).expect("the answer is sent");
            std::thread::sleep(pause);
            drop(connection);
            closed.send(()).expect("the test waits");
        }
    });
    (address, is_closed, server)
}

/// Sends a request to an endpoint, and returns the status of the answer.
async fn send(
    pool: &ConnectionPool,
    timers: &Timers,
    address: SocketAddr,
    reuse: Reuse,
) -> Result<StatusCode, SendError> {
    let req = Request::post("/").header("host", "h").body(Full::default()).expect("a request");
    let until = clock::now() + Duration::from_secs(2);
    let (head, mut body) =
        pool.send(timers, address, req, reuse, until).await?.response.into_parts();
    let is_whole = body.read_into(&mut BytesMut::new(), 0).await;
    assert!(matches!(is_whole, Ok(true)), "the answer has no body");
    pool.release(address, body);
    Ok(head.status)
}

/// Guards against a request that is written to an idle connection which its endpoint had closed
/// before, so that nobody knows whether it has run: the event loop had not run since.
#[test]
fn connection_that_was_closed_while_the_event_loop_stood_still_is_not_used() {
    // Time for the answer to be read, after which the connection is idle.
    let (address, is_closed, server) = serve_two(Duration::from_millis(50));
    let statuses = block_on(async {
        let (timers, pool) = (Timers::spawn(), ConnectionPool::default());
        let first = send(&pool, &timers, address, Reuse::Any).await;
        assert_eq!(pool.idle(), 1);
        // Blocks the thread of the event loop.
        is_closed.recv().expect("the connection is closed");
        [first, send(&pool, &timers, address, Reuse::Any).await]
    });
    assert_eq!(statuses, [Ok(StatusCode::OK), Ok(StatusCode::OK)]);
    server.join().expect("the endpoint got two requests");
}

/// Guards against a request that may run once and is lost, so that nobody knows whether it has run,
/// on a connection that its endpoint closes after an answer without having announced it.
#[test]
fn request_that_may_run_once_is_not_sent_over_a_connection_that_was_used_just_before() {
    let (address, _is_closed, server) = serve_two(Duration::from_millis(50));
    let statuses = block_on(async {
        let (timers, pool) = (Timers::spawn(), ConnectionPool::default());
        let first = send(&pool, &timers, address, Reuse::Rested).await;
        [first, send(&pool, &timers, address, Reuse::Rested).await]
    });
    assert_eq!(statuses, [Ok(StatusCode::OK), Ok(StatusCode::OK)]);
    server.join().expect("the endpoint got two requests");
}

/// Guards against requests that may run once and each open a connection, though others have rested.
#[test]
fn request_that_may_run_once_is_sent_over_a_connection_that_has_rested() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let server = std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("a connection");
        for _ in 0..2 {
            let length = connection.read(&mut [0; 1_024]).expect("a request");
            assert!(length > 0, "the connection ended without a request");
            connection.write_all(EMPTY_ANSWER).expect("the answer is sent");
        }
    });
    let statuses = block_on(async {
        let (timers, pool) = (Timers::spawn(), ConnectionPool::default());
        let first = send(&pool, &timers, address, Reuse::Rested).await;
        timers.sleep(MIN_REST).await;
        [first, send(&pool, &timers, address, Reuse::Rested).await]
    });
    assert_eq!(statuses, [Ok(StatusCode::OK), Ok(StatusCode::OK)]);
    server.join().expect("the endpoint got two requests");
}
