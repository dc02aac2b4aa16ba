//! The open requests of this box: their organisations and states, and delivery of events to them,
//! such as that an endpoint is leaving.

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

/// Number of a request, counted from the start of this box.
pub type RequestNumber = u64;

/// Maximum number of open requests listed in a dump; the count in it includes all.
const MAX_DUMPED_REQUESTS: usize = 1_000;

/// One open request.
#[derive(Debug)]
pub struct OpenRequest {
    /// Its number.
    pub number: RequestNumber,
    /// Name of the organisation that sent it.
    pub organisation: String,
    /// Name of the service that handles it.
    pub service: String,
    opened_at: Instant,
    state: Cell<RequestState>,
    endpoint: Cell<Option<EndpointId>>,
    sent_tokens: Cell<u32>,
    /// The request that is forwarded; unset for one handled by `model_call`.
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

    /// Sets the request that is forwarded.
    pub fn set_call(&self, call: Rc<CallRequest>) {
        // Set once, when the request is inserted.
        let _first = self.call.set(call);
    }

    /// Polls for the next delivered event.
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

    /// Records the state of the request, for dumps.
    pub fn record_state(&self, relay: &Relay) {
        self.state.set(relay.state());
        self.endpoint.set(relay.endpoint());
        self.sent_tokens.set(relay.splice().sent_tokens());
    }

    /// Whether its caller has been sent a part of its response.
    pub fn has_response(&self) -> bool {
        self.sent_tokens.get() > 0
    }

    /// How long the request has been open.
    pub fn age(&self) -> std::time::Duration {
        clock::elapsed(self.opened_at)
    }

    fn dump(&self) -> Value {
        json!({
            "number": self.number,
            "organisation": self.organisation,
            "service": self.service,
            "state": self.state.get().name(),
            "endpoint": self.endpoint.get(),
            "sent_tokens": self.sent_tokens.get(),
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
    empty_waker: RefCell<Option<Waker>>,
}

/// Keeps a request in the table until it is dropped.
#[derive(Debug)]
pub struct OpenRequestGuard {
    table: OpenRequests,
    request: Rc<OpenRequest>,
}

impl OpenRequests {
    /// Inserts a request.
    pub fn insert(&self, organisation: &str, service: &str) -> OpenRequestGuard {
        let number = self.0.next.get() + 1;
        self.0.next.set(number);
        let request = Rc::new(OpenRequest {
            number,
            organisation: organisation.to_owned(),
            service: service.to_owned(),
            opened_at: clock::now(),
            state: Cell::new(RequestState::Accepted),
            endpoint: Cell::new(None),
            sent_tokens: Cell::new(0),
            call: OnceCell::new(),
            signals: RefCell::default(),
            waker: RefCell::default(),
        });
        self.0.open.borrow_mut().insert(number, Rc::clone(&request));
        OpenRequestGuard { table: self.clone(), request }
    }

    /// Number of open requests.
    pub fn len(&self) -> usize {
        self.0.open.borrow().len()
    }

    /// Whether there are no open requests.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Delivers an event to every open request.
    pub fn send_to_all(&self, event: &Event) {
        for request in self.0.open.borrow().values() {
            request.signal(event.clone());
        }
    }

    /// Delivers an event to the open requests whose call satisfies `predicate`.
    pub fn send_to_matching(
        &self,
        event: &Event,
        predicate: impl Fn(&OpenRequest, &CallRequest) -> bool,
    ) {
        for request in self.0.open.borrow().values() {
            if request.call.get().is_some_and(|call| predicate(request, call)) {
                request.signal(event.clone());
            }
        }
    }

    /// Ready once there are no open requests.
    pub fn poll_empty(&self, cx: &Context<'_>) -> Poll<()> {
        if self.is_empty() {
            return Poll::Ready(());
        }
        *self.0.empty_waker.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }

    /// The table as JSON.
    pub fn dump(&self) -> Value {
        let open = self.0.open.borrow();
        let listed: Vec<_> = open.values().take(MAX_DUMPED_REQUESTS).map(|r| r.dump()).collect();
        json!({ "count": open.len(), "listed": listed })
    }
}

impl OpenRequestGuard {
    /// The request.
    pub fn request(&self) -> &Rc<OpenRequest> {
        &self.request
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        let mut open = self.table.0.open.borrow_mut();
        open.remove(&self.request.number);
        if open.is_empty()
            && let Some(waker) = self.table.0.empty_waker.borrow_mut().take()
        {
            waker.wake();
        }
    }
}
