//! Decides whether an answer whose bytes have ended in order is complete.
//!
//! Why: an answer without length or chunks ends with its connection, and so does one whose endpoint
//! crashes, since the operating system closes the sockets of a process in order. The bytes can't show
//! which it was. It can be found out whether the endpoint is still running.

use std::fmt;

use vaneway_registry::StartMillis;
use vaneway_route::EndpointId;

use crate::core::endpoints::framing::Framing;
use crate::core::entry::Entry;
use crate::core::exit_check;

/// What has arrived of an answer at its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Received {
    /// Bytes that may be the whole answer.
    All,
    /// An event stream that ended inside an event.
    PartOfEvent,
    /// An event stream without any event, new or resumed by a box after an attempt that broke off.
    NoEvent,
}

/// Why an answer that ended in order is not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BrokenOff {
    InsideEvent,
    BeforeFirstEvent,
    WithoutFraming,
    EndpointNotRunning,
}

impl fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::InsideEvent => "the stream ended inside an event",
            Self::BeforeFirstEvent => "the stream ended with its connection before the first event",
            Self::WithoutFraming => "the neighbour's answer ended with its connection",
            Self::EndpointNotRunning => {
                "the answer ended with its connection, and its endpoint is not running"
            }
        })
    }
}

impl std::error::Error for BrokenOff {}

/// The endpoint that sends an answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sender {
    pub(super) endpoint: EndpointId,
    /// Start time of the incarnation that got the request, as known then.
    pub(super) born: StartMillis,
}

/// Checks that an answer with this framing, which ended in order, is complete. Takes time only if the
/// framing does not show the end.
pub(super) async fn check(
    entry: &Entry,
    sender: Sender,
    framing: Framing,
    received: Received,
) -> Result<(), BrokenOff> {
    if received == Received::PartOfEvent {
        return Err(BrokenOff::InsideEvent);
    }
    if framing.shows_end() {
        return Ok(());
    }
    if received == Received::NoEvent {
        return Err(BrokenOff::BeforeFirstEvent);
    }
    // Other boxes frame all their answers.
    if entry.pool.borrow().get(sender.endpoint).is_neighbour() {
        return Err(BrokenOff::WithoutFraming);
    }
    if exit_check::is_running(entry, sender.endpoint, sender.born).await {
        Ok(())
    } else {
        Err(BrokenOff::EndpointNotRunning)
    }
}
