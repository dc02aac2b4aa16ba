//! A caller of one numbered stream that reads it event by event and takes it up at any entry box.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use hyper::Method;

use crate::Caller;
use crate::caller::OpenResponse;
use crate::wire_endpoint::EVENTS_PER_STREAM;

/// One event as the caller received it, from an endpoint with a software version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event's number.
    pub number: u32,
    /// Software version of the endpoint that wrote it.
    pub version: String,
    /// Instance id of the endpoint that wrote it.
    pub instance: String,
}

impl StreamEvent {
    /// The whole events in a part of a stream; none in place of one that has another form.
    pub fn all_in(received: &[u8]) -> Vec<Option<Self>> {
        let text = String::from_utf8_lossy(received);
        let whole = text.split_inclusive("\n\n").filter_map(|event| event.strip_suffix("\n\n"));
        whole.map(Self::parse).collect()
    }

    /// The bytes of the event.
    pub fn text(&self) -> String {
        let Self { number, version, instance } = self;
        format!("id: {number}\ndata: piece {number} by {version} at {instance}\n\n")
    }

    /// Reads an event such as `id: 3\ndata: piece 3 by v1 at i-a`; none if it has another form.
    fn parse(text: &str) -> Option<Self> {
        let (number, data) = text.strip_prefix("id: ")?.split_once("\ndata: ")?;
        let (_piece, author) = data.split_once(" by ")?;
        let (version, instance) = author.split_once(" at ")?;
        let (version, instance) = (version.to_owned(), instance.to_owned());
        Some(Self { number: number.parse().ok()?, version, instance })
    }
}

/// One attempt of a stream's caller.
#[derive(Debug)]
struct Attempt {
    id: String,
    /// None once the response has ended or the caller has left, or if there was none.
    response: Option<OpenResponse>,
    /// None if no response arrived.
    status: Option<u16>,
    retry_after: Option<String>,
    /// Whether the body ended as HTTP frames it.
    is_complete: bool,
}

/// The caller of one stream.
#[derive(Debug)]
pub struct StreamCaller {
    token: String,
    host: String,
    path: String,
    name: String,
    /// Whether it names, when it takes the stream up, the attempt that brought the first event.
    names_first_attempt: bool,
    attempts: u32,
    attempt: Option<Attempt>,
    /// Id of the attempt that brought the first event.
    first: Option<String>,
    /// Number of the last event that it states to have received before its first attempt.
    received: u32,
    /// The events of all attempts.
    events: Vec<StreamEvent>,
}

/// Time that the caller grants each attempt, in milliseconds; far longer than any should take.
const DEADLINE_MS: &str = "60000";

impl StreamCaller {
    /// A caller with an organisation's token. The ids of its attempts begin with `name`.
    pub fn new(token: &str, host: &str, path: &str, name: &str) -> Self {
        Self {
            token: token.to_owned(),
            host: host.to_owned(),
            path: path.to_owned(),
            name: name.to_owned(),
            names_first_attempt: true,
            attempts: 0,
            attempt: None,
            first: None,
            received: 0,
            events: Vec::new(),
        }
    }

    /// Makes the caller send no `Resumes`.
    #[must_use]
    pub fn without_first_attempt(mut self) -> Self {
        self.names_first_attempt = false;
        self
    }

    /// Makes the caller name `first` as the attempt that brought the first event, and state that it
    /// has received the events up to number `last`; none if that is 0.
    #[must_use]
    pub fn with_received(mut self, first: &str, last: u32) -> Self {
        self.first = Some(first.to_owned());
        self.received = last;
        self
    }

    /// Leaves the attempt that is under way, if there is one, and sends the next one to the entry
    /// box at `entry`: from the beginning if no event has arrived, after the last event otherwise.
    /// Returns once the head of the response has arrived or the connection has failed.
    pub async fn send(&mut self, entry: SocketAddr) {
        self.attempt = None;
        self.attempts += 1;
        let id = format!("{}-{}", self.name, self.attempts);
        let last = Some(self.last_number()).filter(|last| *last > 0).map(|last| last.to_string());
        // Each attempt has a prompt of its own, so that no endpoint is preferred for what it keeps
        // in its cache.
        let prompt = format!("{:x}:800", id.bytes().fold(7, hash));
        let mut headers = vec![
            ("x-request-id", &*id),
            ("x-deadline-ms", DEADLINE_MS),
            ("x-model", "m"),
            ("x-token-usage", "800,80"),
            ("x-prompt-prefix", &*prompt),
        ];
        headers.extend(last.as_deref().map(|last| ("last-event-id", last)));
        let first = self.first.as_deref().filter(|_| self.names_first_attempt);
        headers.extend(first.map(|first| ("resumes", first)));
        let caller = Caller::new(entry, &self.token).with_host(&self.host);
        let response = caller.try_open(Method::POST, &self.path, &headers, self.name.clone()).await;
        self.attempt = Some(Attempt {
            status: response.as_ref().map(OpenResponse::status),
            retry_after: response.as_ref().and_then(|response| response.header("retry-after")),
            response,
            is_complete: false,
            id,
        });
    }

    /// Reads until the events up to number `last` have arrived or the attempt has ended.
    pub async fn read_until(&mut self, last: u32) {
        while self.last_number() < last
            && let Some(attempt) = &mut self.attempt
            && let Some(response) = &mut attempt.response
        {
            let known = count(response.received());
            response.events(known + 1).await;
            let events = StreamEvent::all_in(response.received());
            self.events.extend(events.into_iter().skip(known).flatten());
            if let Some(is_complete) = response.is_complete() {
                attempt.is_complete = is_complete;
                attempt.response = None;
            }
            if !self.events.is_empty() && self.first.is_none() {
                self.first = Some(attempt.id.clone());
            }
        }
    }

    /// Reads the attempt's response to its end.
    pub async fn finish(&mut self) {
        self.read_until(u32::MAX).await;
    }

    /// Closes the connection of the attempt that is under way.
    pub fn leave(&mut self) {
        self.attempt = None;
    }

    /// The events that arrived in all attempts.
    pub fn events(&self) -> &[StreamEvent] {
        &self.events
    }

    /// Number of the last event that arrived; 0 if none did.
    pub fn last_number(&self) -> u32 {
        self.events.last().map_or(self.received, |event| event.number)
    }

    /// Software versions of the endpoints that wrote the events.
    pub fn versions(&self) -> BTreeSet<&str> {
        self.events.iter().map(|event| &*event.version).collect()
    }

    /// Whether all events arrived, each once and in order, and the last attempt's response is
    /// complete.
    pub fn is_complete(&self) -> bool {
        let numbers = self.events.iter().map(|event| event.number);
        let ended = self.attempt.as_ref().is_some_and(|attempt| attempt.is_complete);
        ended && numbers.eq(self.received + 1..=EVENTS_PER_STREAM)
    }

    /// Id of the last attempt.
    pub fn id(&self) -> String {
        format!("{}-{}", self.name, self.attempts)
    }

    /// HTTP status of the last attempt; none if no response arrived.
    pub fn status(&self) -> Option<u16> {
        self.attempt.as_ref().and_then(|attempt| attempt.status)
    }

    /// Whether the last attempt was refused with 503 and a valid, positive `Retry-After`.
    pub fn is_refused(&self) -> bool {
        let retry_after = self.attempt.as_ref().and_then(|attempt| attempt.retry_after.as_ref());
        let seconds = retry_after.and_then(|seconds| seconds.parse::<f64>().ok());
        self.status() == Some(503) && seconds.is_some_and(|seconds| seconds > 0.0)
    }
}

/// Number of whole events in a part of a stream.
fn count(received: &[u8]) -> usize {
    received.windows(2).filter(|pair| pair == b"\n\n").count()
}

/// One step of FNV-1a.
fn hash(hash: u32, byte: u8) -> u32 {
    (hash ^ u32::from(byte)).wrapping_mul(16_777_619)
}
