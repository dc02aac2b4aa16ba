//! Which control box an entry box asks for a configuration, without I/O.
//!
//! Every control box says which version is agreed on, which is short; the configuration is long, and comes from one of them.
//! It is asked for again elsewhere when it is late, and the wait grows with each time, so that a link that needs long for
//! it is not filled with copies.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::core::configuration::Version;
use crate::util::hash;

/// How long others wait for the preferred control box to have a version too: longer than a follower is behind its leader.
const PREFERRED_WITHIN: Duration = Duration::from_millis(150);

/// How long the first answer may take: a configuration of 1 MB over a link of 10 Mbit/s.
const ANSWER_WITHIN: Duration = Duration::from_millis(800);

/// Most doublings of the time for an answer.
const DOUBLINGS_MOST: u32 = 2;

/// What is offered, and what was asked for.
#[derive(Debug)]
pub struct ConfigurationSource {
    /// This box's own, by which boxes turn to different control boxes.
    seed: u64,
    offers: BTreeMap<SocketAddr, Version>,
    /// When a version above the box's own was first offered.
    behind_since: Option<Instant>,
    asked: Option<Asked>,
    /// Answers that were late in a row.
    late: u32,
}

#[derive(Debug)]
struct Asked {
    of: SocketAddr,
    at: Instant,
}

impl ConfigurationSource {
    /// One that knows of no control box.
    pub fn new(seed: u64) -> Self {
        Self { seed, offers: BTreeMap::new(), behind_since: None, asked: None, late: 0 }
    }

    /// A control box says that a version is agreed on.
    pub fn record_offer(&mut self, by: SocketAddr, version: Version) {
        self.offers.insert(by, version);
    }

    /// The connection to a control box ended.
    pub fn disconnected(&mut self, by: SocketAddr) {
        self.offers.remove(&by);
        self.asked.take_if(|asked| asked.of == by);
    }

    /// A control box has answered.
    pub fn answered(&mut self, by: SocketAddr) {
        self.late = 0;
        self.asked.take_if(|asked| asked.of == by);
    }

    /// The newest version that is known to be agreed on; 0 if none is.
    pub fn newest(&self) -> Version {
        self.offers.values().copied().max().unwrap_or_default()
    }

    /// Whom to ask now for something newer than `own`; `preferred` goes first.
    pub fn next_request(
        &mut self,
        now: Instant,
        own: Version,
        preferred: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        let newest = self.newest();
        if newest <= own {
            self.behind_since = None;
            self.asked = None;
            return None;
        }
        let behind_since = *self.behind_since.get_or_insert(now);
        let within = ANSWER_WITHIN * 2_u32.pow(self.late.min(DOUBLINGS_MOST));
        let late = match &self.asked {
            Some(asked) if now < asked.at + within => return None,
            asked => asked.as_ref().map(|asked| asked.of),
        };
        let has_newest = |by: &SocketAddr| self.offers.get(by) == Some(&newest);
        let preferred = preferred.filter(|by| late != Some(*by));
        let waits = preferred.is_some() && now < behind_since + PREFERRED_WITHIN;
        let of = match preferred.filter(has_newest) {
            Some(preferred) => preferred,
            None if waits => return None,
            None => self.other(newest, late)?,
        };
        self.late += u32::from(late.is_some());
        self.asked = Some(Asked { of, at: now });
        Some(of)
    }

    /// A control box with the newest version, if possible another one than that which is late.
    fn other(&self, newest: Version, late: Option<SocketAddr>) -> Option<SocketAddr> {
        let offers = self.offers.iter().filter(|(_, version)| **version == newest);
        let have = offers.map(|(by, _)| *by);
        have.min_by_key(|by| (late == Some(*by), hash::of((self.seed, by))))
    }
}
