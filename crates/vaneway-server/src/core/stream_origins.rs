//! Where streams began, as an entry box knows it and finds it out.
//!
//! Why: a stream may go on only at the software version that began it. Inside one response the box
//! that sends it knows that version. A caller whose connection broke takes its stream up with
//! another request, often at another box, and names the request that brought its first event.
//!
//! Data flow: when a stream that may be resumed yields its first event, its origin is recorded here
//! ([`StreamOrigins::record`]) and reported to all control boxes at once. A stream that a caller
//! takes up is looked up ([`find`]) among the streams of this box, then at the control boxes
//! ([`StreamOrigins::next_lookup`]), and if these can't be asked, at the neighbours. A stream that
//! nobody knows is not continued: a guess could join what two versions wrote.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use futures_channel::oneshot;
use vaneway_origins::ORIGIN_RETENTION;
use vaneway_origins::Origin;
use vaneway_origins::OriginRecord;
use vaneway_origins::Origins;
use vaneway_origins::StreamKey;
use vaneway_route::EndpointId;

use crate::core::entry::Entry;
use crate::core::neighbours;
use crate::util::clock;
use crate::util::hash;

/// Maximum wait for the answers of control boxes: a round trip between regions.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum wait until what is reported to control boxes is written to their connections. The
/// operating system takes it at once, unless a control box doesn't read.
pub const REPORT_TIMEOUT: Duration = Duration::from_millis(20);

/// Age of the last message of a control box up to which this box counts as connected. Control boxes
/// answer pings more often.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(1_500);

/// How long it is kept which endpoint answered a stream: longer than a registration can be late.
const RECENT_RETENTION: Duration = Duration::from_secs(15);

/// Who knew where a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownBy {
    /// This box.
    OwnBox,
    /// A control box.
    ControlBox,
    /// Another entry box.
    Neighbour,
}

impl KnownBy {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::OwnBox => "own_box",
            Self::ControlBox => "control_box",
            Self::Neighbour => "neighbour",
        }
    }
}

/// Why it isn't known where a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unknown {
    /// This box knows that its origins contradict each other.
    Contradictory,
    /// No connected control box knows it, or knows it without contradiction.
    Unrecorded,
    /// No control box is connected, and no neighbour knows it.
    NotAsked,
    /// Not all control boxes that were asked have answered in time, and no neighbour knows it.
    NotAnswered,
    /// The caller doesn't name its first request, and there may be several versions.
    Unnamed,
    /// The route no longer leads to the service that began it.
    OtherService,
}

impl Unknown {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Contradictory => "contradictory",
            Self::Unrecorded => "unrecorded",
            Self::NotAsked => "not_asked",
            Self::NotAnswered => "not_answered",
            Self::Unnamed => "unnamed",
            Self::OtherService => "other_service",
        }
    }
}

/// A lookup at the control boxes whose answers have not all arrived.
#[derive(Debug, Default)]
struct Lookup {
    /// Requests that wait for it.
    waiting: Vec<oneshot::Sender<Option<Origin>>>,
    /// Control boxes that have not answered.
    unanswered: usize,
}

/// A stream that was recorded lately.
#[derive(Debug, Clone, Copy)]
struct RecentStream {
    at: Instant,
    key: StreamKey,
    endpoint: EndpointId,
}

/// The streams that this box knows, and its lookups.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    known: RefCell<Origins>,
    /// Streams recorded within `RECENT_RETENTION`, the oldest first.
    recent: RefCell<VecDeque<RecentStream>>,
    lookups: RefCell<BTreeMap<StreamKey, Lookup>>,
    /// Lookups to send; no more than there are requests that wait for them.
    unsent: RefCell<VecDeque<StreamKey>>,
    /// Woken when there are lookups to send.
    sender: RefCell<Option<Waker>>,
    /// Woken when there are streams to report.
    reporter: RefCell<Option<Waker>>,
    /// Number of records so far.
    recorded: Cell<u64>,
    /// Number of these that have been reported.
    reported: Cell<u64>,
    /// Woken when more have been reported.
    unreported: RefCell<Vec<Waker>>,
    last_contact: Cell<Option<Instant>>,
    /// When a control box last said that it has known all endpoints for longer than streams last.
    last_knowledge: Cell<Option<Instant>>,
}

/// The key of the stream whose first event answered the request `id` of an organisation.
pub fn key_of(organisation: &str, id: &str) -> StreamKey {
    hash::of((organisation, id))
}

impl StreamOrigins {
    /// Records that a stream yielded its first event, or goes on, at `endpoint` through this box.
    pub fn record(&self, key: StreamKey, endpoint: EndpointId, origin: &Origin) {
        let now = clock::now();
        self.known.borrow_mut().record(now, key, origin);
        self.recorded.update(|count| count + 1);
        wake(&self.reporter);
        let mut recent = self.recent.borrow_mut();
        while recent.front().is_some_and(|first| first.at + RECENT_RETENTION < now) {
            recent.pop_front();
        }
        recent.push_back(RecentStream { at: now, key, endpoint });
    }

    /// Records that an endpoint has run other software than was known, since `since` or for an
    /// unknown time: where the streams began that it has answered since then isn't known any longer,
    /// at any box.
    pub fn doubt(&self, endpoint: EndpointId, since: Option<Instant>) {
        let now = clock::now();
        let recent = self.recent.borrow();
        let doubtful = recent.iter().filter(|stream| stream.endpoint == endpoint);
        for stream in doubtful.filter(|stream| since.is_none_or(|since| stream.at >= since)) {
            self.known.borrow_mut().doubt(now, stream.key);
        }
        wake(&self.reporter);
    }

    /// Waits until everything recorded so far has been reported to the control boxes, so that it is
    /// known if this box is lost. Doesn't wait if none is connected.
    pub async fn reported(&self) {
        let count = self.recorded.get();
        poll_fn(|cx| {
            if self.reported.get() >= count || !self.is_connected() {
                return Poll::Ready(());
            }
            self.unreported.borrow_mut().push(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Records that the first `count` records have been reported.
    pub fn record_reported(&self, count: u64) {
        self.reported.set(count);
        self.unreported.take().into_iter().for_each(Waker::wake);
    }

    /// Waits until streams are recorded that no earlier call has returned, and returns them with the
    /// number of records so far.
    pub async fn next_updates(&self) -> (u64, Vec<OriginRecord>) {
        poll_fn(|cx| {
            let updates = self.known.borrow_mut().take_updates(clock::now());
            if updates.is_empty() {
                *self.reporter.borrow_mut() = Some(cx.waker().clone());
                return Poll::Pending;
            }
            Poll::Ready((self.recorded.get(), updates))
        })
        .await
    }

    /// All streams that this box knows.
    pub fn all(&self) -> Vec<OriginRecord> {
        self.known.borrow().all(clock::now())
    }

    /// Where a stream began, if this box knows it.
    pub fn get(&self, key: StreamKey) -> Option<Origin> {
        self.known.borrow().find(clock::now(), key).cloned()
    }

    /// Whether it has become uncertain where a stream began.
    pub fn is_uncertain(&self, key: StreamKey) -> bool {
        self.known.borrow().is_contradictory(clock::now(), key)
    }

    /// Records that a control box has sent something.
    pub fn record_contact(&self) {
        self.last_contact.set(Some(clock::now()));
    }

    /// Whether a control box has sent something lately, so that this box knows the endpoints.
    pub fn is_connected(&self) -> bool {
        self.last_contact.get().is_some_and(|at| clock::elapsed(at) < MAX_CONTACT_AGE)
    }

    /// Records for how long a control box that has sent its endpoints has known all of them.
    pub fn record_knowledge(&self, endpoints_known_for: Duration) {
        if endpoints_known_for >= ORIGIN_RETENTION {
            self.last_knowledge.set(Some(clock::now()));
        }
    }

    /// Whether this box knows all endpoints at which a stream that is taken up may have begun.
    pub fn knows_endpoints(&self) -> bool {
        self.last_knowledge.get().is_some_and(|at| clock::elapsed(at) < MAX_CONTACT_AGE)
    }

    /// Waits for the next lookup to send to the control boxes.
    pub async fn next_lookup(&self) -> StreamKey {
        poll_fn(|cx| {
            let next = self.unsent.borrow_mut().pop_front();
            if next.is_none() {
                *self.sender.borrow_mut() = Some(cx.waker().clone());
            }
            next.map_or(Poll::Pending, Poll::Ready)
        })
        .await
    }

    /// Records to how many control boxes a lookup was sent.
    pub fn record_sent(&self, key: StreamKey, control_boxes: usize) {
        let mut lookups = self.lookups.borrow_mut();
        let Some(lookup) = lookups.get_mut(&key) else { return };
        lookup.unanswered = control_boxes;
        if control_boxes == 0 {
            lookups.remove(&key);
        }
    }

    /// Handles the answer of a control box to a lookup. The first that knows the stream decides; it
    /// is unknown once all have answered that they don't know it.
    pub fn answered(&self, key: StreamKey, origin: Option<&Origin>) {
        let mut lookups = self.lookups.borrow_mut();
        let Some(lookup) = lookups.get_mut(&key) else { return };
        lookup.unanswered = lookup.unanswered.saturating_sub(1);
        if origin.is_none() && lookup.unanswered > 0 {
            return;
        }
        let lookup = lookups.remove(&key).unwrap_or_default();
        for tx in lookup.waiting {
            // The caller may have disconnected.
            let _gone = tx.send(origin.cloned());
        }
    }

    /// Starts a lookup, or joins one for the same stream.
    fn look_up(&self, key: StreamKey) -> PendingLookup<'_> {
        let (tx, rx) = oneshot::channel();
        let mut lookups = self.lookups.borrow_mut();
        if !lookups.contains_key(&key) {
            self.unsent.borrow_mut().push_back(key);
            wake(&self.sender);
        }
        lookups.entry(key).or_default().waiting.push(tx);
        PendingLookup { origins: self, key, rx }
    }

    /// Removes a lookup for which no request waits any longer.
    fn remove_abandoned(&self, key: StreamKey) {
        let mut lookups = self.lookups.borrow_mut();
        let Some(lookup) = lookups.get_mut(&key) else { return };
        lookup.waiting.retain(|tx| !tx.is_canceled());
        if lookup.waiting.is_empty() {
            lookups.remove(&key);
            self.unsent.borrow_mut().retain(|unsent| *unsent != key);
        }
    }
}

fn wake(waker: &RefCell<Option<Waker>>) {
    if let Some(waker) = waker.borrow_mut().take() {
        waker.wake();
    }
}

/// A request's wait for a lookup, which ends when this is dropped.
#[derive(Debug)]
struct PendingLookup<'a> {
    origins: &'a StreamOrigins,
    key: StreamKey,
    rx: oneshot::Receiver<Option<Origin>>,
}

impl Drop for PendingLookup<'_> {
    fn drop(&mut self) {
        self.rx.close();
        self.origins.remove_abandoned(self.key);
    }
}

/// Finds out where a stream began.
///
/// # Errors
///
/// Why it isn't known.
pub async fn find(entry: &Entry, key: StreamKey) -> Result<(Origin, KnownBy), Unknown> {
    if let Some(origin) = entry.origins.get(key) {
        return Ok((origin, KnownBy::OwnBox));
    }
    if entry.origins.is_uncertain(key) {
        return Err(Unknown::Contradictory);
    }
    let mut lookup = entry.origins.look_up(key);
    let answer = entry.timers.timeout_at(clock::now() + LOOKUP_TIMEOUT, &mut lookup.rx).await;
    drop(lookup);
    let unknown = match answer {
        Some(Ok(Some(origin))) => return Ok((origin, KnownBy::ControlBox)),
        Some(Ok(None)) => return Err(Unknown::Unrecorded),
        Some(Err(oneshot::Canceled)) => Unknown::NotAsked,
        None => Unknown::NotAnswered,
    };
    let origin = neighbours::origins::ask(entry, key).await;
    origin.map(|origin| (origin, KnownBy::Neighbour)).ok_or(unknown)
}
