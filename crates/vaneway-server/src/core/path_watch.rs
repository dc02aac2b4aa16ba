//! Finds out whether this box reaches any endpoint of a service, by opening connections.
//!
//! Data flow: attempts report failures and responses ([`PathWatch`]); [`ServicePaths`] decides when
//! a path is checked; [`watch`] opens connections to several endpoints at once. While none of them
//! accepts, this box is cut off from the service, and new connections are tried until one opens.

use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use vaneway_route::EndpointId;
use vaneway_route::EndpointState;
use vaneway_route::PathAction;
use vaneway_route::ServiceId;
use vaneway_route::ServicePaths;

use crate::core::endpoints::upstream::CONNECT_TIMEOUT;
use crate::core::entry::Entry;
use crate::util::clock;
use crate::util::logline::Line;
use crate::util::socket;

/// Maximum number of endpoints to which a check opens connections.
const ENDPOINTS_PER_CHECK: usize = 6;

/// Maximum number of endpoints that are tried at a time while this box is cut off.
const ENDPOINTS_PER_RETRY: usize = 2;

/// Time between two tries while this box is cut off.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// What this box knows of its paths to the endpoints of all services.
#[derive(Debug, Default)]
pub struct PathWatch {
    paths: RefCell<ServicePaths>,
    /// Wakes [`watch`].
    waker: RefCell<Option<Waker>>,
}

impl PathWatch {
    /// Records a failed attempt at an endpoint of `service`, which has `usable` endpoints that are
    /// neither leaving nor gone.
    pub fn record_failure(&self, service: ServiceId, endpoint: EndpointId, usable: usize) {
        let now = clock::now();
        self.paths.borrow_mut().record_failure(now, service, endpoint, usable);
        self.wake();
    }

    /// Records a response of any endpoint of `service`.
    pub fn record_response(&self, service: ServiceId) {
        self.paths.borrow_mut().record_response(service);
    }

    /// Whether this box is cut off from the endpoints of `service`.
    pub fn is_cut_off(&self, service: ServiceId) -> bool {
        self.paths.borrow().is_cut_off(service)
    }

    /// The services from whose endpoints this box is cut off.
    pub fn cut_off(&self) -> Vec<ServiceId> {
        self.paths.borrow().cut_off().collect()
    }

    fn suspect(&self, services: impl Iterator<Item = ServiceId>) {
        let now = clock::now();
        services.for_each(|service| self.paths.borrow_mut().suspect(now, service));
        self.wake();
    }

    fn record_check(&self, service: ServiceId, reached: Reached) -> Option<PathAction> {
        let connected = reached != Reached::Nothing;
        self.paths.borrow_mut().record_check(clock::now(), service, connected)
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    async fn next_check(&self) -> ServiceId {
        poll_fn(|cx| {
            if let Some(service) = self.paths.borrow_mut().next_check() {
                return Poll::Ready(service);
            }
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }
}

/// Checks the paths to services whenever they are suspected, until dropped.
pub async fn watch(entry: Rc<Entry>) {
    loop {
        let service = entry.paths.next_check().await;
        compio::runtime::spawn(check(Rc::clone(&entry), service)).detach();
    }
}

/// Checks the path to a service once, and while this box is cut off from it, again and again.
async fn check(entry: Rc<Entry>, service: ServiceId) {
    let reached = reach_any(&entry, service, ENDPOINTS_PER_CHECK).await;
    let action = entry.paths.record_check(service, reached);
    if action != Some(PathAction::Announce) {
        return;
    }
    let since = clock::now();
    log_path(&entry, service, "cut_off", since);
    // What separates this box from one service may separate it from others as well.
    let others = entry.services().into_iter().filter(|other| *other != service);
    entry.paths.suspect(others);
    let mut reached = Reached::Nothing;
    while entry.paths.record_check(service, reached) != Some(PathAction::Restore) {
        entry.timers.sleep(RETRY_INTERVAL).await;
        reached = reach_any(&entry, service, ENDPOINTS_PER_RETRY).await;
    }
    // An endpoint that has not failed may be new, and on a path that was never lost.
    if reached == Reached::Failed {
        entry.update_pool(|pool, now, out| pool.restore_all(now, service, out));
    }
    log_path(&entry, service, "open", since);
}

fn log_path(entry: &Entry, service: ServiceId, state: &str, since: Instant) {
    entry.metrics.cut_off_services.set(entry.paths.cut_off().len().try_into().unwrap_or(i64::MAX));
    Line::new("service_path")
        .with("service", entry.service_name(service))
        .with("state", state)
        .with("endpoints", entry.pool.borrow().usable(service).count())
        .with("for_ms", clock::elapsed(since).as_millis())
        .warn();
}

/// What came of opening connections to endpoints of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reached {
    /// No endpoint accepted one.
    Nothing,
    /// One accepted that has not failed since its last response, or the service has none: then there
    /// is no path to lose.
    Sound,
    /// One accepted that had failed.
    Failed,
}

/// Opens connections to up to `count` endpoints of a service, drawn at random, until one is accepted.
async fn reach_any(entry: &Entry, service: ServiceId, count: usize) -> Reached {
    let targets = entry.pool.borrow_mut().sample(service, count);
    if targets.is_empty() {
        return Reached::Sound;
    }
    let open = async |endpoint: EndpointId| {
        let address = entry.address(endpoint);
        let opened = socket::connect_timeout(&entry.timers, address, CONNECT_TIMEOUT).await;
        opened.is_ok().then_some(endpoint)
    };
    let mut opening: FuturesUnordered<_> = targets.into_iter().map(open).collect();
    while let Some(accepted) = opening.next().await {
        let Some(endpoint) = accepted else { continue };
        let state = entry.pool.borrow().get(endpoint).state;
        return if state == EndpointState::Suspect { Reached::Failed } else { Reached::Sound };
    }
    Reached::Nothing
}
