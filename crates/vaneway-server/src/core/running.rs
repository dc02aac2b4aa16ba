//! Starts and stops an entry box with its components.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::WrapErr as _;
use futures_channel::oneshot;
use vaneway_route::Pool;

use crate::core::callers::front;
use crate::core::callers::native::NativeCallers;
use crate::core::callers::protocol::CallerProtocol;
use crate::core::callers::ready;
use crate::core::calls::claims;
use crate::core::calls::claims::Claims;
use crate::core::cloud_notices;
use crate::core::cluster::datagram::Cluster;
use crate::core::cluster::follow;
use crate::core::cluster::marks;
use crate::core::cluster::wire::LOAD_REPORT_INTERVAL;
use crate::core::entry::Components;
use crate::core::entry::Entry;
use crate::core::entry::Phase;
use crate::core::operators;
use crate::core::path_watch;
use crate::core::settings::Settings;
use crate::util::clock;
use crate::util::http_server::HttpServer;
use crate::util::logline::Line;
use crate::util::task::spawn_until_dropped;
use crate::util::timers::Timers;

/// How long a planned stop waits for connections to close once no request is open.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// A running entry box.
#[derive(Debug)]
pub struct RunningEntry {
    entry: Rc<Entry>,
    listen: SocketAddr,
    operators: SocketAddr,
    front: HttpServer,
    ready: Option<HttpServer>,
    /// The listener for calls that other entry boxes forward.
    forwarded: Option<HttpServer>,
    /// Tasks such as the expiry of leaving endpoints and the platform's client, which end when
    /// these senders are dropped.
    background: Vec<oneshot::Sender<()>>,
}

/// Starts an entry box on the current event loop, with vaneway's own interface for callers.
///
/// # Errors
///
/// Fails if one of its addresses can't be bound.
pub async fn spawn(settings: Settings) -> eyre::Result<RunningEntry> {
    spawn_with(settings, NativeCallers).await
}

/// Starts an entry box on the current event loop, with the given interface for callers.
///
/// # Errors
///
/// Fails if one of its addresses can't be bound.
pub async fn spawn_with<C: CallerProtocol>(
    settings: Settings,
    callers: C,
) -> eyre::Result<RunningEntry> {
    check_charts();
    let timers = Timers::spawn();
    let boot = clock::since_epoch().as_micros() as u64;
    let claims = open_claims(&settings, boot).await?;
    let cluster = bind_cluster(&settings, boot).await?;
    let entry = Rc::new(Entry::new(settings, timers, Components { claims, cluster, boot }));
    let receiving = spawn_until_dropped(marks::receive(Rc::clone(&entry)));
    marks::catch_up(&entry).await;
    let listen = entry.settings.listen;
    let ready = bind_ready(&entry)?;
    let forwarded = listen_for_forwarded(&entry, &callers)?;
    let front = front::bind(Rc::clone(&entry), callers)
        .wrap_err_with(|| format!("failed to listen for callers on {listen}"))?;
    let listen = entry.settings.operators.listen;
    let operators = operators::bind(Rc::clone(&entry))
        .await
        .wrap_err_with(|| format!("failed to listen for operators on {listen}"))?;
    let background = vec![
        receiving,
        spawn_until_dropped(marks::exchange_digests(Rc::clone(&entry))),
        spawn_until_dropped(expire_leaving(Rc::clone(&entry))),
        spawn_until_dropped(expire_claims(Rc::clone(&entry))),
        spawn_until_dropped(follow::follow(Rc::clone(&entry))),
        spawn_until_dropped(path_watch::watch(Rc::clone(&entry))),
        spawn_until_dropped(cloud_notices::follow_list(Rc::clone(&entry))),
        spawn_until_dropped(cloud_notices::follow_notices(Rc::clone(&entry))),
    ];
    let listen = front.address();
    Line::new("started")
        .with("name", &entry.settings.name)
        .with("availability_zone", &entry.settings.availability_zone)
        .with("listen", listen)
        .with("operators", operators)
        .with("services", entry.settings.services.len())
        .with("replicas", entry.settings.replicas.len())
        .info();
    Ok(RunningEntry { entry, listen, operators, front, ready, forwarded, background })
}

/// Time for the final report to reach the control boxes: two report intervals.
const FINAL_REPORT_GRACE: Duration = LOAD_REPORT_INTERVAL.saturating_mul(2);

/// Compiles the state charts, so that an error in one is found at start and not at the first
/// request.
fn check_charts() {
    let charts = [
        vaneway_route::endpoint_chart().name(),
        vaneway_route::path_chart().name(),
        vaneway_relay::request_chart().name(),
        vaneway_relay::attempt_chart().name(),
    ];
    log::debug!("event=charts_checked charts={}", charts.join(","));
}

/// Opens the ledger of claims. A deployment of several boxes would need claims that are agreed on
/// by all of them; as long as that isn't implemented, it keeps none and refuses the calls that need
/// them.
async fn open_claims(settings: &Settings, boot: u64) -> eyre::Result<Option<Claims>> {
    match &settings.data_folder {
        Some(folder) if settings.peers.is_empty() => {
            Ok(Some(claims::open(folder, boot, &settings.claims).await?))
        }
        _ => Ok(None),
    }
}

/// Binds the separate address for the readiness probes of load balancers, if there is one.
fn bind_ready(entry: &Rc<Entry>) -> eyre::Result<Option<HttpServer>> {
    let Some(listen) = entry.settings.ready else { return Ok(None) };
    let bound = ready::bind(Rc::clone(entry), listen);
    bound.map(Some).wrap_err_with(|| format!("failed to listen for readiness on {listen}"))
}

/// Starts listening for calls that other entry boxes forward, if the settings have an address for
/// them.
fn listen_for_forwarded<C: CallerProtocol>(
    entry: &Rc<Entry>,
    callers: &C,
) -> eyre::Result<Option<HttpServer>> {
    let Some(listen) = entry.settings.forwarded_listen else { return Ok(None) };
    let bound = callers.listen_for_forwarded(entry, listen);
    let bound = bound.wrap_err_with(|| format!("failed to listen for entry boxes on {listen}"))?;
    entry.forwarded_listen.set(bound.as_ref().map(HttpServer::address));
    Ok(bound)
}

/// Binds the socket for the other entry boxes.
async fn bind_cluster(settings: &Settings, seed: u64) -> eyre::Result<Option<Cluster>> {
    let Some(cluster) = &settings.cluster else { return Ok(None) };
    let context = || format!("failed to listen for peers on {}", cluster.listen);
    let bound = Cluster::bind(cluster, settings.peers.len(), seed).await;
    let bound = bound.wrap_err_with(context)?;
    let address = bound.local_addr().wrap_err_with(context)?;
    Line::new("cluster").with("address", address).with("peers", settings.peers.len()).info();
    Ok(Some(bound))
}

/// Removes claims that are older than the retention.
async fn expire_claims(entry: Rc<Entry>) {
    /// Time between two checks; the retention is hours.
    const CHECK_INTERVAL: Duration = Duration::from_mins(1);
    let Some(claims) = entry.claims.clone() else { return };
    while claims.expire().await.is_ok() {
        entry.timers.sleep(CHECK_INTERVAL).await;
    }
}

/// Removes leaving endpoints when their time is over.
async fn expire_leaving(entry: Rc<Entry>) {
    /// Longest time until the next check, since a notice may arrive meanwhile.
    const CHECK_INTERVAL: Duration = Duration::from_millis(50);
    loop {
        entry.timers.sleep(CHECK_INTERVAL).await;
        let due = entry.pool.borrow().next_deadline();
        if due.is_some_and(|at| at <= clock::now()) {
            entry.update_pool(Pool::expire);
        }
    }
}

impl RunningEntry {
    /// Address for callers.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Address for operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// The shared state.
    pub fn entry(&self) -> &Rc<Entry> {
        &self.entry
    }

    /// Performs a planned stop: loses readiness, then refuses new requests, and returns once all
    /// open requests are complete. Returns the number of requests that were still open when the
    /// time allowed for that was over.
    pub async fn stop(self) -> usize {
        let Self { entry, front, ready, forwarded, background, .. } = self;
        entry.enter_phase(Phase::Unready);
        entry.timers.sleep(entry.settings.stop.accept_grace).await;
        entry.enter_phase(Phase::Finishing);
        front.finish();
        let until = clock::now() + entry.settings.stop.drain_timeout;
        let empty = std::future::poll_fn(|cx| entry.open.poll_empty(cx));
        entry.timers.timeout_at(until, empty).await;
        let cut_off = entry.open.len();
        let until = clock::now() + CLOSE_TIMEOUT;
        let busy = || {
            entry.caller_connections.get() + entry.claims.as_ref().map_or(0, Claims::running_calls)
                > 0
        };
        while busy() && clock::now() < until {
            entry.timers.sleep(Duration::from_millis(5)).await;
        }
        if entry.settings.follow.is_some() && entry.is_done() {
            entry.timers.sleep(FINAL_REPORT_GRACE).await;
        }
        drop((background, ready, forwarded));
        Line::new("stopped").with("cut_off", cut_off).info();
        cut_off
    }
}
