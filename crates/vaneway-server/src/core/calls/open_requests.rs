//! The requests that are open at this box: who they belong to, where they stand, and the way to
//! tell them that their endpoint leaves.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use vaneway_chart::ChartName as _;
use vaneway_relay::Event;
use vaneway_relay::Relay;
use vaneway_relay::RequestState;
use vaneway_route::EndpointId;

use crate::core::endpoints::protocol::CallRequest;
use crate::util::clock;

/// Number of a request at this box since its start.
pub type RequestNumber = u64;

/// Most open requests that a dump lists; the count is always whole.
const DUMPED_MOST: usize = 1_000;

/// One open request.
#[derive(Debug)]
pub struct OpenRequest {
    /// Its number.
    pub number: RequestNumber,
    /// Name of the organisation that sent it.
    pub organisation: String,
    /// Name of the service that answers it.
    pub service: String,
    since: Instant,
    state: Cell<RequestState>,
    endpoint: Cell<Option<EndpointId>>,
    sent: Cell<u32>,
    /// What it asks of its service, if it passes through.
    call: OnceCell<Rc<CallRequest>>,
    signals: RefCell<VecDeque<Event>>,
    waker: RefCell<Option<Waker>>,
}

impl OpenRequest {
    /// Delivers an event to the request's task.
    pub fn signal(&self, event: Event) {
        self.signals.borrow_mut().push_back(event);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Keeps what it asks of its service.
    pub fn set_call(&self, call: Rc<CallRequest>) {
        // Set once, when the request is entered.
        let _first = self.call.set(call);
    }

    /// The next event that was delivered.
    pub fn poll_signal(&self, cx: &Context<'_>) -> Poll<Event> {
        if let Some(event) = self.signals.borrow_mut().pop_front() {
            return Poll::Ready(event);
        }
        let mut waker = self.waker.borrow_mut();
        match waker.as_mut() {
            Some(known) => known.clone_from(cx.waker()),
            None => *waker = Some(cx.waker().clone()),
        }
        Poll::Pending
    }

    /// Notes where the request stands, for dumps.
    pub fn note(&self, relay: &Relay) {
        self.state.set(relay.state());
        self.endpoint.set(relay.endpoint());
        self.sent.set(relay.splice().sent_tokens());
    }

    /// How long the request has been open.
    pub fn age(&self) -> std::time::Duration {
        clock::elapsed(self.since)
    }

    fn dump(&self) -> Value {
        json!({
            "number": self.number,
            "organisation": self.organisation,
            "service": self.service,
            "state": self.state.get().name(),
            "endpoint": self.endpoint.get(),
            "sent_tokens": self.sent.get(),
            "age_ms": self.age().as_millis() as u64,
        })
    }
}

/// All open requests; clones share the table.
#[derive(Debug, Clone, Default)]
pub struct OpenRequests(Rc<Table>);

#[derive(Debug, Default)]
struct Table {
    next: Cell<RequestNumber>,
    open: RefCell<BTreeMap<RequestNumber, Rc<OpenRequest>>>,
    emptied: RefCell<Option<Waker>>,
}

/// Keeps a request in the table until it is dropped.
#[derive(Debug)]
pub struct OpenGuard {
    table: OpenRequests,
    request: Rc<OpenRequest>,
}

impl OpenRequests {
    /// Enters a request.
    pub fn insert(&self, organisation: &str, service: &str) -> OpenGuard {
        let number = self.0.next.get() + 1;
        self.0.next.set(number);
        let request = Rc::new(OpenRequest {
            number,
            organisation: organisation.to_owned(),
            service: service.to_owned(),
            since: clock::now(),
            state: Cell::new(RequestState::Accepted),
            endpoint: Cell::new(None),
            sent: Cell::new(0),
            call: OnceCell::new(),
            signals: RefCell::default(),
            waker: RefCell::default(),
        });
        self.0.open.borrow_mut().insert(number, Rc::clone(&request));
        OpenGuard { table: self.clone(), request }
    }

    /// How many are open.
    pub fn len(&self) -> usize {
        self.0.open.borrow().len()
    }

    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Delivers an event to every open request.
    pub fn send_to_all(&self, event: &Event) {
        for request in self.0.open.borrow().values() {
            request.signal(event.clone());
        }
    }

    /// Delivers an event to the open requests whose call is one of `which`.
    pub fn send_to_matching(&self, event: &Event, which: impl Fn(&CallRequest) -> bool) {
        for request in self.0.open.borrow().values() {
            if request.call.get().is_some_and(|call| which(call)) {
                request.signal(event.clone());
            }
        }
    }

    /// Ready once none is open.
    pub fn poll_empty(&self, cx: &Context<'_>) -> Poll<()> {
        if self.is_empty() {
            return Poll::Ready(());
        }
        *self.0.emptied.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }

    /// The table as JSON.
    pub fn dump(&self) -> Value {
        let open = self.0.open.borrow();
        let listed: Vec<_> = open.values().take(DUMPED_MOST).map(|r| r.dump()).collect();
        json!({ "count": open.len(), "listed": listed })
    }
}

impl OpenGuard {
    /// The request.
    pub fn request(&self) -> &Rc<OpenRequest> {
        &self.request
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let mut open = self.table.0.open.borrow_mut();
        open.remove(&self.request.number);
        if open.is_empty()
            && let Some(waker) = self.table.0.emptied.borrow_mut().take()
        {
            waker.wake();
        }
    }
}
