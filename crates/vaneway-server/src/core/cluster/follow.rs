//! How an entry box follows the control boxes.
//!
//! Data flow: one connection to each control box that is known: the seeds of the settings at
//! first, then whoever the control boxes name ([`advertised_control_boxes`]). Any of them may name the newest configuration and
//! endpoints; one that is cut off or behind takes nothing away. A configuration is asked for at one ([`configuration_source`]). What
//! requests used is told to all; what the others used is heard from two ([`publishers`]).
//!
//! [`configuration_source`]: crate::core::cluster::configuration_source
//! [`advertised_control_boxes`]: crate::core::cluster::advertised_control_boxes

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use vaneway_limit::BoxNumber;
use vaneway_quota::RETAINED_SLOTS;
use vaneway_quota::Sharers;
use vaneway_registry::InstanceId;
use vaneway_registry::Lifecycle;
use vaneway_registry::Report;
use vaneway_route::Load;

use crate::core::cluster::advertised_control_boxes::AdvertisedControlBoxes;
use crate::core::cluster::configuration_source::ConfigurationSource;
use crate::core::cluster::control_link::ControlLink;
use crate::core::cluster::publishers;
use crate::core::cluster::publishers::Publisher;
use crate::core::cluster::reconnect::keep_connected;
use crate::core::cluster::wire::FromEntry;
use crate::core::cluster::wire::HOST_SILENCE_TIMEOUT;
use crate::core::cluster::wire::LOAD_REPORT_INTERVAL;
use crate::core::cluster::wire::PING_INTERVAL;
use crate::core::cluster::wire::PROCESS_SILENCE_TIMEOUT;
use crate::core::cluster::wire::SLOTS_PER_REPORT;
use crate::core::cluster::wire::ToControl;
use crate::core::cluster::wire::ToEntry;
use crate::core::cluster::wire::USAGE_REPORT_INTERVAL;
use crate::core::cluster::wire::USAGE_REPORTS_PER_FULL;
use crate::core::cluster::wire::WINDOWS_PER_REPORT;
use crate::core::cluster::wire::Wanted;
use crate::core::cluster::work_at_endpoints;
use crate::core::cluster_time::ClusterTime;
use crate::core::endpoints::registered;
use crate::core::entry::Entry;
use crate::core::limits;
use crate::core::loads::Loads;
use crate::core::quarantine;
use crate::core::settings::FollowSettings;
use crate::core::usage::RETAINED_WINDOWS;
use crate::core::usage::UsageReport;
use crate::util::clock;
use crate::util::frames;
use crate::util::frames::EncodedFrame;
use crate::util::frames::IdleTimeouts;
use crate::util::hash;
use crate::util::logline::Line;
use crate::util::send_queue::BufferedBytes;
use crate::util::send_queue::SendQueue;
use crate::util::socket;

/// Largest step by which a better estimate of the cluster's time may differ without a log line.
const CLOCK_STEP: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct Follower {
    entry: Rc<Entry>,
    settings: FollowSettings,
    /// Where configurations come from.
    source: RefCell<ConfigurationSource>,
    /// Whether a change did not fit the configuration that is in force here.
    whole_wanted: Cell<bool>,
    /// What the connections hold.
    held: Rc<BufferedBytes>,
    /// Control boxes that are named.
    named: RefCell<AdvertisedControlBoxes>,
    /// Control boxes to which a connection is kept.
    kept: RefCell<BTreeSet<SocketAddr>>,
    /// Connections that are open.
    open: RefCell<BTreeMap<SocketAddr, ControlLink>>,
    /// What this box last told of its open work at endpoints.
    told: RefCell<BTreeMap<InstanceId, Load>>,
    /// When it last changed which control boxes tell what the others use.
    told_by_since: Cell<Instant>,
    /// Whether it told that this box is done.
    said_done: Cell<bool>,
    /// Round trip of the exchange that gave the present estimate of the cluster's time, and when.
    clock_from: Cell<Option<(Duration, Instant)>>,
}

/// Time for which tellers stay as they are while all connections do. Each new one has to tell all that it
/// knows, and those that are late together would be left for each other in turn.
const TELLERS_KEPT: Duration = Duration::from_secs(2);

/// How old an estimate of the cluster's time may be before a worse one replaces it.
const CLOCK_KEPT: Duration = Duration::from_secs(20);

/// Follows the control boxes until dropped.
pub async fn follow(entry: Rc<Entry>) {
    let Some(settings) = entry.settings.follow.clone() else { return };
    let source = ConfigurationSource::new(hash::of(&entry.settings.name));
    let follower = Rc::new(Follower {
        entry,
        source: RefCell::new(source),
        whole_wanted: Cell::new(false),
        settings,
        held: Rc::default(),
        named: RefCell::default(),
        kept: RefCell::default(),
        open: RefCell::default(),
        told: RefCell::default(),
        told_by_since: Cell::new(clock::now()),
        said_done: Cell::new(false),
        clock_from: Cell::new(None),
    });
    follower.keep(BTreeSet::new());
    let mut pinged = clock::now();
    let mut round: u64 = 0;
    let mut use_told = clock::now();
    loop {
        follower.entry.timers.sleep(LOAD_REPORT_INTERVAL).await;
        if follower.said_done.get() {
            continue;
        }
        follower.ask_for_configuration();
        follower.tell_loads();
        follower.tell_parts();
        follower.tell_findings();
        follower.tell_limits();
        if follower.entry.is_done() {
            follower.say_done();
            continue;
        }
        if clock::elapsed(use_told) < USAGE_REPORT_INTERVAL {
            continue;
        }
        use_told = clock::now();
        round += 1;
        let report = follower.report(round.is_multiple_of(USAGE_REPORTS_PER_FULL));
        follower.send_to_all(FromEntry::Usage(report));
        if clock::elapsed(pinged) >= PING_INTERVAL {
            pinged = clock::now();
            let sent_us = follower.steady_us();
            follower.open.borrow().values().for_each(|link| link.ping(sent_us));
        }
        if clock::elapsed(follower.told_by_since.get()) >= TELLERS_KEPT {
            follower.choose_tellers();
        }
    }
}

impl Follower {
    /// Keeps a connection to each of these control boxes and to the seeds, and to no others.
    fn keep(self: &Rc<Self>, mut wanted: BTreeSet<SocketAddr>) {
        wanted.extend(&self.settings.seeds);
        let before = self.kept.replace(wanted.clone());
        if before == wanted {
            return;
        }
        if !before.is_empty() {
            let (kept, before) = (wanted.len(), before.len());
            Line::new("control_boxes").with("kept", kept).with("before", before).info();
        }
        for address in wanted.difference(&before) {
            let follower = Rc::clone(self);
            let address = *address;
            compio::runtime::spawn(async move { follower.keep_one(address).await }).detach();
        }
        for address in before.difference(&wanted) {
            if let Some(link) = self.open.borrow().get(address) {
                link.outgoing.close();
            }
        }
    }

    /// Opens a connection again and again while it is wanted.
    async fn keep_one(self: Rc<Self>, address: SocketAddr) {
        let wanted = || self.kept.borrow().contains(&address);
        let run = async |stream| self.run(address, stream).await;
        let seed = hash::of(&self.entry.settings.name);
        keep_connected(&self.entry.timers, seed, address, wanted, run).await;
    }

    async fn run(self: &Rc<Self>, address: SocketAddr, stream: socket::SocketStream) {
        let outgoing = SendQueue::new(&self.held);
        let link = ControlLink::new(outgoing.clone());
        link.send(self.hello());
        self.open.borrow_mut().insert(address, link);
        let on_frame = async |frame: &[u8]| match frames::decode::<ToEntry>(frame) {
            Some(message) => self.received(address, message),
            None => self.entry.metrics.datagrams_dropped.inc(),
        };
        let timers = &self.entry.timers;
        let silence = IdleTimeouts { host: HOST_SILENCE_TIMEOUT, process: PROCESS_SILENCE_TIMEOUT };
        let why = frames::drive(timers, &stream, &outgoing, silence, on_frame).await;
        let link = self.open.borrow_mut().remove(&address);
        self.source.borrow_mut().disconnected(address);
        self.choose_tellers();
        Line::new("control_lost")
            .with("address", address)
            .with("why", why)
            .with("taken_in", link.is_some_and(|link| link.taken_in.get()))
            .info();
    }

    fn hello(&self) -> FromEntry {
        FromEntry::Hello {
            name: self.entry.settings.name.clone(),
            boot: self.entry.boot(),
            configuration: self.entry.version(),
            known: self.entry.quotas.known_entry_boxes(),
        }
    }

    /// Tells a control box that has taken this box in what it must know.
    fn introduce(&self, address: SocketAddr, link: &ControlLink) {
        link.taken_in.set(true);
        link.send(FromEntry::OfferConfigurations);
        link.send(FromEntry::Leaving(self.leaving()));
        self.tell_all_that_is_told_once(link);
        link.send(FromEntry::Usage(self.report(true)));
        link.ping(self.steady_us());
        Line::new("control_connected")
            .with("address", address)
            .with("waited_ms", clock::elapsed(link.opened).as_millis())
            .info();
    }

    /// A control box has taken in all that it was told before; tells it what was left out meanwhile.
    fn taken_in(&self, link: &ControlLink) {
        link.pinged.set(None);
        if link.missed.replace(false) {
            self.tell_all_that_is_told_once(link);
            link.send(FromEntry::Usage(self.report(true)));
            link.ping(self.steady_us());
        }
    }

    /// Tells a control box all findings and limits. As news they are told once, so one that could not be told then would
    /// never hear of them.
    fn tell_all_that_is_told_once(&self, link: &ControlLink) {
        let findings = self.entry.quarantine.borrow().valid_records(self.entry.cluster_time());
        if !findings.is_empty() {
            link.send(FromEntry::QuarantineRecords(findings));
        }
        let limits = self.entry.limits.borrow().all();
        if !limits.is_empty() {
            link.send(FromEntry::Limits(limits));
        }
    }

    fn received(self: &Rc<Self>, from: SocketAddr, message: ToEntry) {
        if let Some(link) = self.open.borrow().get(&from) {
            link.heard.set(clock::now());
        }
        match message {
            ToEntry::Hello { availability_zone } => {
                if let Some(link) = self.open.borrow().get(&from) {
                    link.same_zone.set(availability_zone == self.entry.settings.availability_zone);
                    self.introduce(from, link);
                }
                self.choose_tellers();
            }
            ToEntry::Pong { sent_us, time_us } => {
                if let Some(link) = self.open.borrow().get(&from) {
                    self.taken_in(link);
                }
                // None if the control box has just started and doesn't know the time yet.
                if let Some(time_us) = time_us {
                    self.learn_time(sent_us, time_us);
                }
            }
            ToEntry::Configuration(configuration) => {
                self.source.borrow_mut().answered(from);
                self.entry.configure(configuration);
                self.whole_wanted.set(false);
                self.ask_for_configuration();
            }
            ToEntry::ConfigurationAgreed { version } => {
                self.source.borrow_mut().record_offer(from, version);
                self.ask_for_configuration();
            }
            ToEntry::ConfigurationChange(change) => {
                self.source.borrow_mut().answered(from);
                self.whole_wanted.set(!self.entry.change_configuration(&change));
                self.ask_for_configuration();
            }
            ToEntry::Registry(reports) => registered::apply(&self.entry, &reports),
            ToEntry::Remembered { endpoints, left_ms } => {
                let left = Duration::from_millis(left_ms);
                registered::add_remembered(&self.entry, &endpoints, left);
            }
            ToEntry::ControlBoxes(named) => self.learn_control_boxes(from, &named),
            ToEntry::Loads { whole, loads } => {
                work_at_endpoints::learn_loads(&self.entry, whole, &loads, &self.told.borrow());
            }
            ToEntry::QuarantineRecords(findings) => quarantine::merge(&self.entry, &findings),
            ToEntry::Limits(told) => limits::merge(&self.entry, &told),
            ToEntry::BoxNumber(number) => self.learn_box_number(from, number),
            ToEntry::Parts(parts) => work_at_endpoints::learn_parts(&self.entry, &parts),
            ToEntry::OthersUsage { as_of, reporting: heard, known, quotas } => {
                self.entry.share_retries(known);
                let sharers = Sharers { reporting: heard, known };
                self.entry.quotas.apply_update(self.entry.cluster_time(), as_of, sharers, &quotas);
            }
        }
    }

    /// Learns which control boxes one of them names; none if that one doesn't know.
    fn learn_control_boxes(self: &Rc<Self>, from: SocketAddr, named: &[SocketAddr]) {
        if named.is_empty() {
            return;
        }
        let is_open = |address: &SocketAddr| self.open.borrow().contains_key(address);
        self.named.borrow_mut().record(from, named, is_open);
        let all = self.named.borrow().all();
        self.keep(all);
    }

    /// Learns which of the entry boxes this box is. Control boxes may differ in that for a while, so it goes by one of
    /// them.
    fn learn_box_number(&self, from: SocketAddr, number: BoxNumber) {
        let tells = self.open.borrow().get(&from).is_some_and(|link| link.wanted.get().loads);
        if tells && self.entry.box_number.replace(Some(number)) != Some(number) {
            let BoxNumber { number, of } = number;
            Line::new("box_number").with("number", number).with("of", of).with("by", from).info();
        }
    }

    /// Endpoints that are known to be leaving or gone.
    fn leaving(&self) -> Vec<Report> {
        let mut reports = self.entry.registry.borrow().reports(clock::now());
        reports.retain(|report| report.lifecycle > Lifecycle::Ready);
        reports
    }

    /// Asks a control box for the newest configuration, if it is time to.
    fn ask_for_configuration(&self) {
        let own = self.entry.version();
        let open = self.open.borrow();
        let preferred = open.iter().find(|(_, link)| link.wanted.get().loads);
        let preferred = preferred.map(|(address, _)| *address);
        let of = self.source.borrow_mut().next_request(clock::now(), own, preferred);
        if let Some(link) = of.and_then(|of| open.get(&of)) {
            let have = if self.whole_wanted.get() { 0 } else { own };
            link.send(FromEntry::RequestConfiguration { have });
        }
    }

    /// Asks the control boxes that are to tell what the others use, and lets the others cease.
    fn choose_tellers(&self) {
        let open = self.open.borrow();
        let taken_in = open.iter().filter(|(_, link)| link.taken_in.get());
        let known: Vec<Publisher> =
            taken_in.map(|(address, link)| link.publisher(*address)).collect();
        let chosen = publishers::choose(&self.entry.settings.name, &known);
        for (address, link) in open.iter() {
            let wanted = Wanted {
                quotas: chosen.contains(address),
                // Loads are long, change all the time, and are not missed for a moment.
                loads: chosen.first() == Some(address),
            };
            if link.wanted.replace(wanted) != wanted {
                self.told_by_since.set(clock::now());
                link.send(FromEntry::Subscribe(wanted));
                log::debug!("event=teller address={address} wanted={wanted:?}");
            }
        }
    }

    /// Tells the control boxes what this box has open at endpoints, where it changed.
    fn tell_loads(&self) {
        let now: BTreeMap<InstanceId, Load> =
            work_at_endpoints::open_loads(&self.entry).into_iter().collect();
        let before = self.told.replace(now);
        let now = self.told.borrow();
        let ended = before.keys().filter(|id| !now.contains_key(*id));
        let mut changed: Loads = ended.map(|id| (id.clone(), Load::default())).collect();
        let other = now.iter().filter(|(id, load)| before.get(*id) != Some(load));
        changed.extend(other.map(|(id, load)| (id.clone(), *load)));
        if !changed.is_empty() {
            self.send_to_all(FromEntry::Loads(changed));
        }
    }

    /// Tells the control boxes which prompt parts this box's requests brought where, as far as it is news.
    fn tell_parts(&self) {
        let parts = work_at_endpoints::take_brought(&self.entry);
        if !parts.is_empty() {
            self.send_to_all(FromEntry::Parts(parts));
        }
    }

    /// Tells the control boxes under which requests endpoints ended here, as far as it is news.
    fn tell_findings(&self) {
        let findings = self.entry.quarantine.borrow_mut().take_updates();
        if !findings.is_empty() {
            self.send_to_all(FromEntry::QuarantineRecords(findings));
        }
    }

    /// Tells the control boxes which limits endpoints named here, as far as it is news.
    fn tell_limits(&self) {
        let limits = limits::take_updates(&self.entry);
        if !limits.is_empty() {
            self.send_to_all(FromEntry::Limits(limits));
        }
    }

    /// Tells the control boxes all that this box used, and that it was all: they need not wait for more.
    fn say_done(&self) {
        self.said_done.set(true);
        let report = self.report(true);
        for link in self.open.borrow().values().filter(|link| link.taken_in.get()) {
            // Also to one that is behind: there will be no later report.
            link.send(FromEntry::Usage(report.clone()));
            link.send(FromEntry::Done);
        }
    }

    fn send_to_all(&self, message: FromEntry) {
        let message = EncodedFrame::new(&ToControl::Entry(message));
        for link in self.open.borrow().values() {
            link.tell(&message);
        }
    }

    /// What this box's requests used: all that is remembered, or the latest.
    fn report(&self, all: bool) -> UsageReport {
        let (slots, windows) = if all {
            (RETAINED_SLOTS, RETAINED_WINDOWS)
        } else {
            (SLOTS_PER_REPORT, WINDOWS_PER_REPORT)
        };
        let now = self.entry.cluster_time();
        let first = vaneway_quota::slot(now).saturating_sub(slots);
        let used = self.entry.usage.borrow();
        let (windows, knows_time) = (used.windows(windows), used.clock().is_some());
        drop(used);
        UsageReport {
            at: knows_time.then_some(now),
            windows,
            quotas: self.entry.quotas.own_usage(now, first, all),
            loads: all.then(|| work_at_endpoints::open_loads(&self.entry)),
            work: self.entry.usage.borrow_mut().work(),
        }
    }

    /// Microseconds of this box's steady clock, from any fixed time on.
    fn steady_us(&self) -> u64 {
        self.entry.uptime().as_micros() as u64
    }

    /// Estimates the cluster's time as in the middle of the exchange; the shortest round trip of
    /// late gives the best estimate.
    fn learn_time(&self, sent_us: u64, time_us: u64) {
        let now = clock::now();
        let round_trip = Duration::from_micros(self.steady_us().saturating_sub(sent_us));
        if let Some((best, at)) = self.clock_from.get()
            && round_trip > best
            && now.saturating_duration_since(at) < CLOCK_KEPT
        {
            return;
        }
        self.clock_from.set(Some((round_trip, now)));
        let clock = ClusterTime::new(now, Duration::from_micros(time_us) + round_trip / 2);
        let before = self.entry.usage.borrow().clock();
        let step = before.map_or(Duration::ZERO, |before| {
            before.since_epoch(now).abs_diff(clock.since_epoch(now))
        });
        if step > CLOCK_STEP {
            Line::new("cluster_time_stepped").with("by_ms", step.as_millis()).warn();
        }
        self.entry.usage.borrow_mut().set_clock(clock, self.settings.window);
        if before.is_none() {
            // Only reports with a time let this box count among those that share quotas.
            self.send_to_all(FromEntry::Usage(self.report(true)));
        }
    }
}
