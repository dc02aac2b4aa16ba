//! An entry box's communication with the control boxes.
//!
//! Data flow: the entry box keeps a connection to each known control box: to the seeds in its
//! settings at first, then to the control boxes that these advertise
//! ([`advertised_control_boxes`]). It accepts the newest configuration and endpoints from any of
//! them, so that one which is cut off or behind does no harm. A configuration is requested from one
//! of them ([`configuration_source`]). Usage is reported to all; the usage of the other entry boxes
//! is received from two ([`publishers`]).
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

use futures_util::future::join_all;
use vaneway_ledger::ClusterTime;
use vaneway_ledger::Loads;
use vaneway_ledger::RETAINED_WINDOWS;
use vaneway_ledger::UsageReport;
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
use crate::core::cluster::wire::HOST_IDLE_TIMEOUT;
use crate::core::cluster::wire::LOAD_REPORT_INTERVAL;
use crate::core::cluster::wire::Neighbour;
use crate::core::cluster::wire::PING_INTERVAL;
use crate::core::cluster::wire::PROCESS_IDLE_TIMEOUT;
use crate::core::cluster::wire::SLOTS_PER_REPORT;
use crate::core::cluster::wire::ToControl;
use crate::core::cluster::wire::ToEntry;
use crate::core::cluster::wire::USAGE_REPORT_INTERVAL;
use crate::core::cluster::wire::USAGE_REPORTS_PER_CALLER_TIMES;
use crate::core::cluster::wire::USAGE_REPORTS_PER_FULL;
use crate::core::cluster::wire::WINDOWS_PER_REPORT;
use crate::core::cluster::wire::Wanted;
use crate::core::cluster::work_at_endpoints;
use crate::core::endpoints::registered;
use crate::core::entry::Entry;
use crate::core::limits;
use crate::core::neighbours;
use crate::core::quarantine;
use crate::core::rollouts;
use crate::core::settings::FollowSettings;
use crate::core::stream_origins::REPORT_TIMEOUT;
use crate::util::clock;
use crate::util::frames;
use crate::util::frames::EncodedFrame;
use crate::util::frames::IdleTimeouts;
use crate::util::hash;
use crate::util::logline::Line;
use crate::util::send_queue::BufferedBytes;
use crate::util::send_queue::SendQueue;
use crate::util::socket;

/// Largest difference of a new estimate of the cluster time from the previous one that is not
/// logged as a clock step.
const CLOCK_STEP_THRESHOLD: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct Follower {
    entry: Rc<Entry>,
    settings: FollowSettings,
    /// Decides where configurations are requested.
    source: RefCell<ConfigurationSource>,
    /// Whether the complete configuration is needed, since a change did not fit the one in force.
    needs_full_configuration: Cell<bool>,
    /// Bytes buffered by the connections.
    buffered: Rc<BufferedBytes>,
    /// Control boxes that control boxes advertise.
    advertised: RefCell<AdvertisedControlBoxes>,
    /// Control boxes to which a connection is kept.
    wanted: RefCell<BTreeSet<SocketAddr>>,
    /// Open connections.
    open: RefCell<BTreeMap<SocketAddr, ControlLink>>,
    /// This box's load at endpoints as last reported.
    reported_loads: RefCell<BTreeMap<InstanceId, Load>>,
    /// When a subscription to a publisher last changed.
    publishers_changed_at: Cell<Instant>,
    /// Whether the final report was sent.
    sent_final_report: Cell<bool>,
    /// Round trip and time of the ping that gave the present estimate of the cluster time.
    clock_sample: Cell<Option<(Duration, Instant)>>,
}

/// Minimum time between changes of publishers while no connection opens or breaks. A new publisher
/// has to send its complete state, and if several were late at the same time, they would be
/// replaced by each other in turn.
const PUBLISHER_CHANGE_INTERVAL: Duration = Duration::from_secs(2);

/// Age up to which an estimate of the cluster time is not replaced by one with a longer round trip.
const CLOCK_SAMPLE_MAX_AGE: Duration = Duration::from_secs(20);

/// Communicates with the control boxes until dropped.
pub async fn follow(entry: Rc<Entry>) {
    let Some(settings) = entry.settings.follow.clone() else { return };
    let source = ConfigurationSource::new(hash::of(&entry.settings.name));
    let follower = Rc::new(Follower {
        entry,
        source: RefCell::new(source),
        needs_full_configuration: Cell::new(false),
        settings,
        buffered: Rc::default(),
        advertised: RefCell::default(),
        wanted: RefCell::default(),
        open: RefCell::default(),
        reported_loads: RefCell::default(),
        publishers_changed_at: Cell::new(clock::now()),
        sent_final_report: Cell::new(false),
        clock_sample: Cell::new(None),
    });
    follower.set_control_boxes(BTreeSet::new());
    compio::runtime::spawn(send_origins(Rc::clone(&follower))).detach();
    compio::runtime::spawn(send_lookups(Rc::clone(&follower))).detach();
    let mut pinged_at = clock::now();
    let mut round: u64 = 0;
    let mut usage_reported_at = clock::now();
    loop {
        follower.entry.timers.sleep(LOAD_REPORT_INTERVAL).await;
        if follower.sent_final_report.get() {
            continue;
        }
        follower.request_configuration();
        follower.report_loads();
        follower.report_parts();
        follower.report_quarantine();
        follower.report_limits();
        if follower.entry.is_done() {
            follower.send_final_report();
            continue;
        }
        if clock::elapsed(usage_reported_at) < USAGE_REPORT_INTERVAL {
            continue;
        }
        usage_reported_at = clock::now();
        round += 1;
        let report = follower.report(round.is_multiple_of(USAGE_REPORTS_PER_FULL));
        follower.send_to_all(FromEntry::Usage(report));
        if round.is_multiple_of(USAGE_REPORTS_PER_CALLER_TIMES) {
            let callers = follower.entry.usage.borrow().callers();
            follower.send_to_all(FromEntry::CallerTimes(callers));
        }
        if round.is_multiple_of(rollouts::USAGE_REPORTS_PER_REPORT) {
            follower.report_rollouts();
        }
        if clock::elapsed(pinged_at) >= PING_INTERVAL {
            pinged_at = clock::now();
            let sent_us = follower.monotonic_us();
            follower.open.borrow().values().for_each(|link| link.ping(sent_us));
        }
        if clock::elapsed(follower.publishers_changed_at.get()) >= PUBLISHER_CHANGE_INTERVAL {
            follower.choose_publishers();
        }
    }
}

/// Reports to the control boxes where streams began, until dropped. Not with the other reports: this
/// box may be lost before the next one. Callers get their first event once a report has been written.
async fn send_origins(follower: Rc<Follower>) {
    loop {
        let (count, origins) = follower.entry.origins.next_updates().await;
        follower.send_to_all(FromEntry::StreamOrigins(origins));
        let queues = follower.queues();
        let written = join_all(queues.iter().map(SendQueue::written));
        let until = clock::now() + REPORT_TIMEOUT;
        // The reports of those that can't be written to are late.
        let _all_written = follower.entry.timers.timeout_at(until, written).await;
        follower.entry.origins.record_reported(count);
    }
}

/// Sends the lookups of streams that callers take up, until dropped.
async fn send_lookups(follower: Rc<Follower>) {
    loop {
        let stream = follower.entry.origins.next_lookup().await;
        let message = FromEntry::FindStreamOrigin { stream };
        let message = EncodedFrame::new(&ToControl::Entry(message));
        let open = follower.open.borrow();
        let sent = open.values().filter(|link| link.send_unless_behind(&message)).count();
        drop(open);
        follower.entry.origins.record_sent(stream, sent);
    }
}

impl Follower {
    /// Keeps a connection to each of these control boxes and to the seeds, and closes all others.
    fn set_control_boxes(self: &Rc<Self>, mut wanted: BTreeSet<SocketAddr>) {
        wanted.extend(&self.settings.seeds);
        let before = self.wanted.replace(wanted.clone());
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
            compio::runtime::spawn(async move { follower.stay_connected(address).await }).detach();
        }
        for address in before.difference(&wanted) {
            if let Some(link) = self.open.borrow().get(address) {
                link.outgoing.close();
            }
        }
    }

    /// Keeps a connection open, reconnecting as long as the control box is wanted.
    async fn stay_connected(self: Rc<Self>, address: SocketAddr) {
        let wanted = || self.wanted.borrow().contains(&address);
        let run = async |stream| self.run(address, stream).await;
        let seed = hash::of(&self.entry.settings.name);
        keep_connected(&self.entry.timers, seed, address, wanted, run).await;
    }

    async fn run(self: &Rc<Self>, address: SocketAddr, stream: socket::SocketStream) {
        let outgoing = SendQueue::new(&self.buffered);
        let link = ControlLink::new(outgoing.clone());
        link.send(self.hello());
        self.open.borrow_mut().insert(address, link);
        let on_frame = async |frame: &[u8]| match frames::decode::<ToEntry>(frame) {
            Some(message) => self.received(address, message),
            None => self.entry.metrics.datagrams_dropped.inc(),
        };
        let timers = &self.entry.timers;
        let idle_timeouts = IdleTimeouts { host: HOST_IDLE_TIMEOUT, process: PROCESS_IDLE_TIMEOUT };
        let why = frames::drive(timers, &stream, &outgoing, idle_timeouts, on_frame).await;
        let link = self.open.borrow_mut().remove(&address);
        self.source.borrow_mut().disconnected(address);
        self.choose_publishers();
        Line::new("control_lost")
            .with("address", address)
            .with("why", why)
            .with("taken_in", link.is_some_and(|link| link.admitted.get()))
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

    /// Sends the initial messages to a control box that has admitted this box.
    fn handle_hello(&self, address: SocketAddr, link: &ControlLink) {
        link.admitted.set(true);
        link.send(FromEntry::OfferConfigurations);
        if let Some(address) = self.entry.forwarded_listen.get() {
            let availability_zone = self.entry.settings.availability_zone.clone();
            link.send(FromEntry::Listens { address, availability_zone });
        }
        link.send(FromEntry::Leaving(self.leaving()));
        self.send_all_records(link);
        link.send(FromEntry::Usage(self.report(true)));
        link.ping(self.monotonic_us());
        Line::new("control_connected")
            .with("address", address)
            .with("waited_ms", clock::elapsed(link.opened_at).as_millis())
            .info();
    }

    /// Handles the answer to a ping: the control box has processed everything sent before, so what
    /// was skipped is sent now.
    fn handle_pong(&self, link: &ControlLink) {
        link.ping_sent_at.set(None);
        if link.has_skipped.replace(false) {
            self.send_all_records(link);
            link.send(FromEntry::Usage(self.report(true)));
            link.ping(self.monotonic_us());
        }
    }

    /// Sends all quarantine records and limits to a control box. Updates are sent only once, so a
    /// control box that missed one would never receive it.
    fn send_all_records(&self, link: &ControlLink) {
        let records = self.entry.quarantine.borrow().valid_records(self.entry.cluster_time());
        if !records.is_empty() {
            link.send(FromEntry::QuarantineRecords(records));
        }
        let limits = self.entry.limits.borrow().all();
        if !limits.is_empty() {
            link.send(FromEntry::Limits(limits));
        }
        let origins = self.entry.origins.all();
        if !origins.is_empty() {
            link.send(FromEntry::StreamOrigins(origins));
        }
    }

    fn received(self: &Rc<Self>, from: SocketAddr, message: ToEntry) {
        if let Some(link) = self.open.borrow().get(&from) {
            link.last_message_at.set(clock::now());
            self.entry.origins.record_contact();
        }
        match message {
            ToEntry::Hello { availability_zone } => {
                if let Some(link) = self.open.borrow().get(&from) {
                    link.same_zone.set(availability_zone == self.entry.settings.availability_zone);
                    self.handle_hello(from, link);
                }
                self.choose_publishers();
            }
            ToEntry::EndpointsKnownFor(time) => self.entry.origins.record_knowledge(time),
            ToEntry::Pong { sent_us, time_us } => {
                if let Some(link) = self.open.borrow().get(&from) {
                    self.handle_pong(link);
                }
                // None if the control box has just started and doesn't know the time yet.
                if let Some(time_us) = time_us {
                    self.record_time_sample(sent_us, time_us);
                }
            }
            ToEntry::Configuration(configuration) => {
                self.source.borrow_mut().answered(from);
                self.entry.configure(configuration);
                self.needs_full_configuration.set(false);
                self.request_configuration();
            }
            ToEntry::ConfigurationAgreed { version } => {
                self.source.borrow_mut().record_offer(from, version);
                self.request_configuration();
            }
            ToEntry::ConfigurationChange(change) => {
                self.source.borrow_mut().answered(from);
                self.needs_full_configuration.set(!self.entry.change_configuration(&change));
                self.request_configuration();
            }
            ToEntry::Registry(reports) => registered::apply(&self.entry, &reports),
            ToEntry::Remembered { endpoints, left_ms } => {
                let left = Duration::from_millis(left_ms);
                registered::add_remembered(&self.entry, &endpoints, left);
            }
            ToEntry::ControlBoxes(advertised) => self.record_control_boxes(from, &advertised),
            ToEntry::Loads { is_full, loads } => {
                work_at_endpoints::apply_loads(
                    &self.entry,
                    is_full,
                    &loads,
                    &self.reported_loads.borrow(),
                );
            }
            ToEntry::QuarantineRecords(records) => quarantine::merge(&self.entry, &records),
            ToEntry::Limits(limits) => limits::merge(&self.entry, &limits),
            ToEntry::BoxNumber(number) => self.apply_box_number(from, number),
            ToEntry::Neighbours(named) => self.apply_neighbours(from, &named),
            ToEntry::StreamOrigin { stream, origin } => {
                self.entry.origins.answered(stream, origin.as_ref());
            }
            ToEntry::Rollouts { rollouts, confirmed } => {
                if rollouts::apply(&self.entry, rollouts, confirmed) {
                    self.report_rollouts();
                }
            }
            ToEntry::Parts(parts) => work_at_endpoints::apply_parts(&self.entry, &parts),
            ToEntry::OthersUsage { as_of, reporting, known, quotas } => {
                self.entry.divide_retries(known);
                let sharers = Sharers { reporting, known };
                self.entry.quotas.apply_update(self.entry.cluster_time(), as_of, sharers, &quotas);
            }
        }
    }

    /// Reports the answers of roll-outs that are not over.
    fn report_rollouts(&self) {
        let reports = self.entry.rollouts.take_reports();
        if !reports.is_empty() {
            self.send_to_all(FromEntry::RolloutReports(reports));
        }
    }

    /// Records the control boxes that one of them advertises; the list is empty if that one doesn't
    /// know them.
    fn record_control_boxes(self: &Rc<Self>, from: SocketAddr, advertised: &[SocketAddr]) {
        if advertised.is_empty() {
            return;
        }
        let is_open = |address: &SocketAddr| self.open.borrow().contains_key(address);
        self.advertised.borrow_mut().record(from, advertised, is_open);
        let all = self.advertised.borrow().all();
        self.set_control_boxes(all);
    }

    /// Applies the number of this box among the entry boxes. Control boxes may disagree on it for a
    /// while, so only the first publisher counts.
    fn apply_box_number(&self, from: SocketAddr, number: BoxNumber) {
        let is_publisher =
            self.open.borrow().get(&from).is_some_and(|link| link.wanted.get().loads);
        if is_publisher && self.entry.box_number.replace(Some(number)) != Some(number) {
            let BoxNumber { number, of } = number;
            Line::new("box_number").with("number", number).with("of", of).with("by", from).info();
        }
    }

    /// Applies the neighbours that a control box names, of which only the first publisher counts.
    fn apply_neighbours(&self, from: SocketAddr, named: &[Neighbour]) {
        if self.open.borrow().get(&from).is_some_and(|link| link.wanted.get().loads) {
            neighbours::set(&self.entry, named);
        }
    }

    /// Endpoints that are known to be leaving or gone.
    fn leaving(&self) -> Vec<Report> {
        let mut reports = self.entry.registry.borrow().reports(clock::now());
        reports.retain(|report| report.lifecycle > Lifecycle::Ready);
        reports
    }

    /// Requests the newest configuration from a control box, if one is due.
    fn request_configuration(&self) {
        let own = self.entry.version();
        let open = self.open.borrow();
        let preferred = open.iter().find(|(_, link)| link.wanted.get().loads);
        let preferred = preferred.map(|(address, _)| *address);
        let target = self.source.borrow_mut().next_request(clock::now(), own, preferred);
        if let Some(link) = target.and_then(|address| open.get(&address)) {
            let have = if self.needs_full_configuration.get() { 0 } else { own };
            link.send(FromEntry::RequestConfiguration { have });
        }
    }

    /// Chooses the publishers of the other entry boxes' usage, and updates the subscriptions at all
    /// control boxes.
    fn choose_publishers(&self) {
        let open = self.open.borrow();
        let admitted = open.iter().filter(|(_, link)| link.admitted.get());
        let known: Vec<Publisher> =
            admitted.map(|(address, link)| link.publisher(*address)).collect();
        let chosen = publishers::choose(&self.entry.settings.name, &known);
        for (address, link) in open.iter() {
            let wanted = Wanted {
                quotas: chosen.contains(address),
                // Load updates are long and frequent, and a short gap in them does no harm.
                loads: chosen.first() == Some(address),
            };
            if link.wanted.replace(wanted) != wanted {
                self.publishers_changed_at.set(clock::now());
                link.send(FromEntry::Subscribe(wanted));
                log::debug!("event=teller address={address} wanted={wanted:?}");
            }
        }
    }

    /// Reports this box's load at endpoints to the control boxes, where it changed.
    fn report_loads(&self) {
        let now: BTreeMap<InstanceId, Load> =
            work_at_endpoints::open_loads(&self.entry).into_iter().collect();
        let before = self.reported_loads.replace(now);
        let now = self.reported_loads.borrow();
        let removed = before.keys().filter(|id| !now.contains_key(*id));
        let mut changed: Loads = removed.map(|id| (id.clone(), Load::default())).collect();
        let other = now.iter().filter(|(id, load)| before.get(*id) != Some(load));
        changed.extend(other.map(|(id, load)| (id.clone(), *load)));
        if !changed.is_empty() {
            self.send_to_all(FromEntry::Loads(changed));
        }
    }

    /// Reports to the control boxes the prompt parts that this box's requests brought to endpoints,
    /// if not reported yet.
    fn report_parts(&self) {
        let parts = work_at_endpoints::take_new_parts(&self.entry);
        if !parts.is_empty() {
            self.send_to_all(FromEntry::Parts(parts));
        }
    }

    /// Reports to the control boxes the requests that were running when endpoints crashed, if not
    /// reported yet.
    fn report_quarantine(&self) {
        let records = self.entry.quarantine.borrow_mut().take_updates();
        if !records.is_empty() {
            self.send_to_all(FromEntry::QuarantineRecords(records));
        }
    }

    /// Reports to the control boxes the limits that endpoints advertised to this box, if not
    /// reported yet.
    fn report_limits(&self) {
        let limits = limits::take_updates(&self.entry);
        if !limits.is_empty() {
            self.send_to_all(FromEntry::Limits(limits));
        }
    }

    /// Sends the final usage report to the control boxes, so that they need not wait for further
    /// ones.
    fn send_final_report(&self) {
        self.sent_final_report.set(true);
        let report = self.report(true);
        for link in self.open.borrow().values().filter(|link| link.admitted.get()) {
            // Also sent to a control box that lags behind, since no later report follows.
            link.send(FromEntry::Usage(report.clone()));
            link.send(FromEntry::Done);
        }
    }

    /// The queues of all connections to control boxes.
    fn queues(&self) -> Vec<SendQueue> {
        self.open.borrow().values().map(|link| link.outgoing.clone()).collect()
    }

    fn send_to_all(&self, message: FromEntry) {
        let message = EncodedFrame::new(&ToControl::Entry(message));
        for link in self.open.borrow().values() {
            link.send_unless_behind(&message);
        }
    }

    /// This box's usage report: everything that is retained, or the latest slots and windows.
    fn report(&self, all: bool) -> UsageReport {
        let (slots, windows) = if all {
            (RETAINED_SLOTS, RETAINED_WINDOWS)
        } else {
            (SLOTS_PER_REPORT, WINDOWS_PER_REPORT)
        };
        let now = self.entry.cluster_time();
        let first = vaneway_quota::slot(now).saturating_sub(slots);
        let usage = self.entry.usage.borrow();
        let (windows, knows_time) = (usage.windows(windows), usage.clock().is_some());
        drop(usage);
        UsageReport {
            at: knows_time.then_some(now),
            windows,
            quotas: self.entry.quotas.own_usage(now, first, all),
            loads: all.then(|| work_at_endpoints::open_loads(&self.entry)),
            work: self.entry.usage.borrow_mut().work(),
        }
    }

    /// Microseconds of this box's monotonic clock, from an arbitrary origin.
    fn monotonic_us(&self) -> u64 {
        self.entry.uptime().as_micros() as u64
    }

    /// Estimates the cluster time, assuming that the control box's time is that of the middle of
    /// the exchange. Among recent exchanges the one with the shortest round trip gives the best
    /// estimate.
    fn record_time_sample(&self, sent_us: u64, time_us: u64) {
        let now = clock::now();
        let round_trip = Duration::from_micros(self.monotonic_us().saturating_sub(sent_us));
        if let Some((best, at)) = self.clock_sample.get()
            && round_trip > best
            && now.saturating_duration_since(at) < CLOCK_SAMPLE_MAX_AGE
        {
            return;
        }
        self.clock_sample.set(Some((round_trip, now)));
        let clock = ClusterTime::new(now, Duration::from_micros(time_us) + round_trip / 2);
        let before = self.entry.usage.borrow().clock();
        let step = before.map_or(Duration::ZERO, |before| {
            before.since_epoch(now).abs_diff(clock.since_epoch(now))
        });
        if step > CLOCK_STEP_THRESHOLD {
            Line::new("cluster_time_stepped").with("by_ms", step.as_millis()).warn();
        }
        self.entry.usage.borrow_mut().set_clock(clock, self.settings.window);
        if before.is_none() {
            // Only reports that contain a time make this box count among those that share quotas.
            self.send_to_all(FromEntry::Usage(self.report(true)));
        }
    }
}
