//! Decides from which control box an entry box requests a configuration, without I/O.
//!
//! All control boxes announce the committed version, which is short; the configuration itself is
//! long and is fetched from one of them. If it doesn't arrive in time it is requested from another
//! one, and the timeout grows with each attempt, so that a slow link is not filled with copies.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::core::configuration::Version;
use crate::util::hash;

/// How long the entry box waits for the preferred control box to have a version that others have
/// announced: longer than a follower lags behind its leader.
const PREFERRED_GRACE: Duration = Duration::from_millis(150);

/// Timeout of the first request: enough for a configuration of 1 MB over a link of 10 Mbit/s.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Most times that the timeout is doubled.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;

/// The versions that control boxes offer, and the request that is pending.
#[derive(Debug)]
pub struct ConfigurationSource {
    /// A number of the box's own, by which boxes choose different control boxes.
    seed: u64,
    offers: BTreeMap<SocketAddr, Version>,
    /// When a version above the box's own was first offered.
    behind_since: Option<Instant>,
    pending: Option<PendingRequest>,
    /// Number of consecutive requests that timed out.
    timeouts: u32,
}

#[derive(Debug)]
struct PendingRequest {
    to: SocketAddr,
    sent_at: Instant,
}

impl ConfigurationSource {
    /// A source that knows no control box.
    pub fn new(seed: u64) -> Self {
        Self { seed, offers: BTreeMap::new(), behind_since: None, pending: None, timeouts: 0 }
    }

    /// Records that a control box announced a committed version.
    pub fn record_offer(&mut self, by: SocketAddr, version: Version) {
        self.offers.insert(by, version);
    }

    /// Records that the connection to a control box ended.
    pub fn disconnected(&mut self, by: SocketAddr) {
        self.offers.remove(&by);
        self.pending.take_if(|pending| pending.to == by);
    }

    /// Records the answer of a control box.
    pub fn answered(&mut self, by: SocketAddr) {
        self.timeouts = 0;
        self.pending.take_if(|pending| pending.to == by);
    }

    /// The newest committed version that was announced; 0 if there is none.
    pub fn newest(&self) -> Version {
        self.offers.values().copied().max().unwrap_or_default()
    }

    /// The control box to send a request to now, for a version newer than `own`; `preferred` is
    /// chosen first.
    pub fn next_request(
        &mut self,
        now: Instant,
        own: Version,
        preferred: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        let newest = self.newest();
        if newest <= own {
            self.behind_since = None;
            self.pending = None;
            return None;
        }
        let behind_since = *self.behind_since.get_or_insert(now);
        let timeout = ANSWER_TIMEOUT * 2_u32.pow(self.timeouts.min(MAX_TIMEOUT_DOUBLINGS));
        let timed_out = match &self.pending {
            Some(pending) if now < pending.sent_at + timeout => return None,
            pending => pending.as_ref().map(|pending| pending.to),
        };
        let has_newest = |by: &SocketAddr| self.offers.get(by) == Some(&newest);
        let preferred = preferred.filter(|by| timed_out != Some(*by));
        let waits = preferred.is_some() && now < behind_since + PREFERRED_GRACE;
        let source = match preferred.filter(has_newest) {
            Some(preferred) => preferred,
            None if waits => return None,
            None => self.other(newest, timed_out)?,
        };
        self.timeouts += u32::from(timed_out.is_some());
        self.pending = Some(PendingRequest { to: source, sent_at: now });
        Some(source)
    }

    /// A control box with the newest version, if possible not the one whose request timed out.
    fn other(&self, newest: Version, timed_out: Option<SocketAddr>) -> Option<SocketAddr> {
        let offers = self.offers.iter().filter(|(_, version)| **version == newest);
        let have = offers.map(|(by, _)| *by);
        have.min_by_key(|by| (timed_out == Some(*by), hash::of((self.seed, by))))
    }
}
