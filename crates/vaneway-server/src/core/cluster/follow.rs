//! How an entry box follows the control boxes.
//!
//! Data flow: one connection to each control box that is known: the seeds of the settings at
//! first, then whoever the control boxes name. Configuration and endpoints may come from any of
//! them; the newest counts, so one control box that is cut off or behind takes nothing away. What
//! requests used is told to all, and what the others used is heard from all.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use vaneway_quota::SLOTS_KEPT;
use vaneway_quota::Sharers;
use vaneway_registry::Report;
use vaneway_registry::Standing;

use crate::core::cluster::reconnect::keep_connected;
use crate::core::cluster::wire::FromEntry;
use crate::core::cluster::wire::PING_EVERY;
use crate::core::cluster::wire::SILENCE_MOST;
use crate::core::cluster::wire::SLOTS_TOLD;
use crate::core::cluster::wire::TELL_ALL_EVERY;
use crate::core::cluster::wire::ToControl;
use crate::core::cluster::wire::ToEntry;
use crate::core::cluster::wire::USE_EVERY;
use crate::core::endpoints::registered;
use crate::core::entry::Entry;
use crate::core::settings::FollowSettings;
use crate::core::usage::ClusterTime;
use crate::core::usage::UseReport;
use crate::util::frames;
use crate::util::frames::Encoded;
use crate::util::frames::Outgoing;
use crate::util::logline::Line;
use crate::util::socket;

/// Largest step by which a better estimate of the cluster's time may differ without a log line.
const CLOCK_STEP: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct Follower {
    entry: Rc<Entry>,
    settings: FollowSettings,
    /// Control boxes to which a connection is kept.
    kept: RefCell<BTreeSet<SocketAddr>>,
    /// Connections that are open.
    open: RefCell<BTreeMap<SocketAddr, Outgoing>>,
    /// Round trip of the exchange that gave the present estimate of the cluster's time, and when.
    clock_from: Cell<Option<(Duration, Instant)>>,
}

/// How old an estimate of the cluster's time may be before a worse one replaces it.
const CLOCK_KEPT: Duration = Duration::from_secs(20);

/// Follows the control boxes until dropped.
pub async fn follow(entry: Rc<Entry>) {
    let Some(settings) = entry.settings.follow.clone() else { return };
    let seeds = settings.seeds.clone();
    let follower = Rc::new(Follower {
        entry,
        settings,
        kept: RefCell::default(),
        open: RefCell::default(),
        clock_from: Cell::new(None),
    });
    follower.keep(&seeds);
    let mut pinged = Instant::now();
    let mut round = 0;
    loop {
        follower.entry.timers.sleep(USE_EVERY).await;
        round += 1;
        let report = Encoded::new(&ToControl::Entry(FromEntry::Use(follower.report(round))));
        let ping = pinged.elapsed() >= PING_EVERY;
        if ping {
            pinged = Instant::now();
        }
        for outgoing in follower.open.borrow().values() {
            outgoing.send_encoded(&report);
            if ping {
                send(outgoing, FromEntry::Ping { sent_us: follower.steady_us() });
            }
        }
    }
}

fn send(outgoing: &Outgoing, message: FromEntry) {
    outgoing.send(&ToControl::Entry(message));
}

impl Follower {
    /// Keeps a connection to each of these control boxes and to the seeds, and to no others.
    fn keep(self: &Rc<Self>, addresses: &[SocketAddr]) {
        let wanted: BTreeSet<SocketAddr> =
            addresses.iter().chain(&self.settings.seeds).copied().collect();
        let before = self.kept.replace(wanted.clone());
        for address in wanted.difference(&before) {
            let follower = Rc::clone(self);
            let address = *address;
            compio::runtime::spawn(async move { follower.keep_one(address).await }).detach();
        }
        for address in before.difference(&wanted) {
            if let Some(outgoing) = self.open.borrow().get(address) {
                outgoing.close();
            }
        }
    }

    /// Opens a connection again and again while it is wanted.
    async fn keep_one(self: Rc<Self>, address: SocketAddr) {
        let wanted = || self.kept.borrow().contains(&address);
        let run = async |stream| self.run(address, stream).await;
        keep_connected(&self.entry.timers, address, wanted, run).await;
    }

    async fn run(self: &Rc<Self>, address: SocketAddr, stream: socket::SocketStream) {
        let outgoing = Outgoing::default();
        let name = self.entry.settings.name.clone();
        send(&outgoing, FromEntry::Hello { name, boot: self.entry.boot() });
        send(&outgoing, FromEntry::Leaving(self.leaving()));
        send(&outgoing, FromEntry::Ping { sent_us: self.steady_us() });
        self.open.borrow_mut().insert(address, outgoing.clone());
        Line::new("control_connected").with("address", address).info();
        let on_frame = |frame: &[u8]| match frames::decode::<ToEntry>(frame) {
            Some(message) => self.received(message),
            None => self.entry.metrics.datagrams_dropped.inc(),
        };
        let timers = &self.entry.timers;
        let why = frames::drive(timers, &stream, &outgoing, SILENCE_MOST, on_frame).await;
        self.open.borrow_mut().remove(&address);
        Line::new("control_lost").with("address", address).with("why", why).info();
    }

    fn received(self: &Rc<Self>, message: ToEntry) {
        match message {
            ToEntry::Pong { sent_us, time_us: Some(time_us) } => self.learn_time(sent_us, time_us),
            // The control box has just started and doesn't know the time yet.
            ToEntry::Pong { time_us: None, .. } => {}
            ToEntry::Configuration(configuration) => self.entry.configure(configuration),
            ToEntry::Registry(reports) => registered::apply(&self.entry, &reports),
            ToEntry::Remembered { endpoints, left_ms } => {
                let left = Duration::from_millis(left_ms);
                registered::remember(&self.entry, &endpoints, left);
            }
            ToEntry::ControlBoxes(addresses) => {
                if !addresses.is_empty() {
                    self.keep(&addresses);
                }
            }
            ToEntry::OthersUse { heard, known, quotas, loads } => {
                let sharers = Sharers { heard, known };
                self.entry.share_retries(known);
                self.entry.others_open(&loads);
                for (organisation, slots) in &quotas {
                    self.entry.others_took(organisation, slots, sharers);
                }
            }
        }
    }

    /// Endpoints that are known to be leaving or gone.
    fn leaving(&self) -> Vec<Report> {
        let mut reports = self.entry.registry.borrow().reports(Instant::now());
        reports.retain(|report| report.standing > Standing::Ready);
        reports
    }

    /// What this box's requests used, as far as it must be told now.
    fn report(&self, round: u64) -> UseReport {
        let all = round.is_multiple_of(TELL_ALL_EVERY);
        let kept = if all { SLOTS_KEPT } else { SLOTS_TOLD };
        let first = vaneway_quota::slot(self.entry.cluster_time()).saturating_sub(kept);
        let windows = self.entry.used.borrow().windows();
        UseReport {
            windows,
            quotas: self.entry.own_quota_use(first),
            loads: self.entry.open_loads(),
            work: self.entry.used.borrow_mut().work(),
        }
    }

    /// Microseconds of this box's steady clock, from any fixed time on.
    fn steady_us(&self) -> u64 {
        self.entry.up().as_micros() as u64
    }

    /// Estimates the cluster's time as in the middle of the exchange; the shortest round trip of
    /// late gives the best estimate.
    fn learn_time(&self, sent_us: u64, time_us: u64) {
        let now = Instant::now();
        let round_trip = Duration::from_micros(self.steady_us().saturating_sub(sent_us));
        if let Some((best, at)) = self.clock_from.get()
            && round_trip > best
            && now.saturating_duration_since(at) < CLOCK_KEPT
        {
            return;
        }
        self.clock_from.set(Some((round_trip, now)));
        let clock = ClusterTime::new(now, Duration::from_micros(time_us) + round_trip / 2);
        let before = self.entry.used.borrow().clock();
        let step = before.map_or(Duration::ZERO, |before| {
            before.since_epoch(now).abs_diff(clock.since_epoch(now))
        });
        if step > CLOCK_STEP {
            Line::new("cluster_time_stepped").with("by_ms", step.as_millis()).warn();
        }
        self.entry.used.borrow_mut().set_clock(clock, self.settings.window);
    }
}
