//! Connections that entry boxes and other control boxes open to a control box.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use vaneway_agreement::Event;
use vaneway_agreement::NodeId;
use vaneway_ledger::EntryIncarnation;
use vaneway_limit::BoxNumber;

use crate::core::cluster::wire::BetweenControl;
use crate::core::cluster::wire::CONFIGURATION_TOPIC;
use crate::core::cluster::wire::CONFIGURATION_VERSION_TOPIC;
use crate::core::cluster::wire::FromEntry;
use crate::core::cluster::wire::HOST_IDLE_TIMEOUT;
use crate::core::cluster::wire::Neighbour;
use crate::core::cluster::wire::PROCESS_IDLE_TIMEOUT;
use crate::core::cluster::wire::ToControl;
use crate::core::cluster::wire::ToEntry;
use crate::core::cluster::wire::Wanted;
use crate::core::configuration::Version;
use crate::core::control::dissemination;
use crate::core::control::dissemination::Source;
use crate::core::control::entry_updates;
use crate::core::control::group;
use crate::core::control::peers;
use crate::core::control::remembered;
use crate::core::control::rollouts;
use crate::core::control::state::Control;
use crate::util::clock;
use crate::util::frames;
use crate::util::frames::EncodedFrame;
use crate::util::frames::IdleTimeouts;
use crate::util::logline::Line;
use crate::util::send_queue::SendQueue;
use crate::util::socket::SocketListener;
use crate::util::socket::SocketStream;

/// A connection of an entry box.
#[derive(Debug)]
pub struct EntryLink {
    /// Name and boot number of the entry box.
    pub incarnation: EntryIncarnation,
    pub(super) outgoing: SendQueue,
    /// The updates about other entry boxes that it has subscribed to.
    pub(super) subscription: Cell<Wanted>,
    /// Its number among the entry boxes as last sent, if it has subscribed to loads.
    pub(super) box_number: Cell<Option<BoxNumber>>,
    /// Version of the configuration that it had when it connected.
    initial_version: Version,
    /// Where it listens for calls that other entry boxes forward, once it has said so.
    pub(super) listens: RefCell<Option<Neighbour>>,
    /// Its neighbours as last sent.
    pub(super) neighbours_sent: RefCell<Option<Vec<Neighbour>>>,
    configuration_delivery: Cell<ConfigurationDelivery>,
}

/// How an entry box receives configurations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConfigurationDelivery {
    /// Not known yet.
    Unknown,
    /// It is sent version numbers and requests the configuration itself.
    Offered,
    /// It is sent each configuration, since it runs an older version of this program that makes no
    /// requests.
    Sent,
}

impl EntryLink {
    /// The updates about other entry boxes that it has subscribed to.
    pub fn subscription(&self) -> Wanted {
        self.subscription.get()
    }
}

/// Sends a message to every connected entry box.
pub(super) fn send_to_entries(control: &Control, message: &ToEntry) {
    let message = EncodedFrame::new(message);
    for entry in control.entry_links.borrow().values() {
        entry.outgoing.send_encoded(&message);
    }
}

/// Sends a message to the entry boxes that have subscribed to loads at this box.
pub(super) fn send_to_load_subscribers(control: &Control, message: &ToEntry) {
    let message = EncodedFrame::new(message);
    for entry in
        control.entry_links.borrow().values().filter(|entry| entry.subscription.get().loads)
    {
        entry.outgoing.send_encoded(&message);
    }
}

/// Offers a version of the configuration to the entry boxes that request configurations themselves,
/// and sends the configuration to the others.
pub(super) fn publish_configuration(control: &Control, version: Version) {
    let offer = EncodedFrame::new(&ToEntry::ConfigurationAgreed { version });
    for entry in control.entry_links.borrow().values() {
        match entry.configuration_delivery.get() {
            ConfigurationDelivery::Offered => {
                entry.outgoing.send_newest(CONFIGURATION_VERSION_TOPIC, &offer);
            }
            ConfigurationDelivery::Sent => send_configuration(control, entry, 0),
            ConfigurationDelivery::Unknown => {}
        }
    }
}

/// Sends an entry box the configuration, or the difference to the version that it has.
fn send_configuration(control: &Control, entry: &EntryLink, have: Version) {
    let machine = control.machine.borrow();
    let Some(current) =
        machine.current_configuration().filter(|current| current.configuration.version > have)
    else {
        return;
    };
    let answer = control.changes.borrow_mut().update_since(&current.configuration, have);
    entry.outgoing.send_newest(CONFIGURATION_TOPIC, &answer);
}

/// Offers the committed configuration to an entry box, now and whenever it changes; the entry box
/// requests it.
fn offer_configurations(control: &Control, entry: &EntryLink) {
    entry.configuration_delivery.set(ConfigurationDelivery::Offered);
    let version = control.machine.borrow().version();
    if version > 0 {
        let offer = EncodedFrame::new(&ToEntry::ConfigurationAgreed { version });
        entry.outgoing.send_newest(CONFIGURATION_VERSION_TOPIC, &offer);
    }
}

/// Accepts connections until dropped.
pub async fn accept(control: Rc<Control>, listener: SocketListener) {
    loop {
        let stream = listener.accept_next(&control.timers).await;
        compio::runtime::spawn(serve(Rc::clone(&control), stream)).detach();
    }
}

/// The peer of a connection, once it has identified itself.
#[derive(Debug)]
enum Sender {
    Unknown,
    Entry { link: u64, incarnation: EntryIncarnation },
    Control { node: NodeId },
}

async fn serve(control: Rc<Control>, stream: SocketStream) {
    let outgoing = SendQueue::new(&control.buffered);
    let mut sender = Sender::Unknown;
    let on_frame = async |frame: &[u8]| {
        // Messages of the many entry boxes can wait for a turn; those of other control boxes
        // cannot.
        if matches!(sender, Sender::Entry { .. }) {
            control.turns.next().await;
        }
        let Some(message) = frames::decode::<ToControl>(frame) else {
            control.unreadable_messages.update(|count| count + 1);
            return;
        };
        if matches!(message, ToControl::Entry(FromEntry::Hello { .. })) {
            control.turns.next().await;
        }
        handle_message(&control, &outgoing, &mut sender, message);
    };
    let idle_timeouts = IdleTimeouts { host: HOST_IDLE_TIMEOUT, process: PROCESS_IDLE_TIMEOUT };
    let why = frames::drive(&control.timers, &stream, &outgoing, idle_timeouts, on_frame).await;
    if let Sender::Entry { link, incarnation } = sender {
        control.entry_links.borrow_mut().remove(&link);
        // The entry box may have reconnected before this connection was found to be lost.
        if !control.entry_links.borrow().values().any(|link| link.incarnation == incarnation) {
            control.usage_ledger.borrow_mut().loads().remove(&incarnation);
        }
        Line::new("entry_lost").with("entry", incarnation.0).with("why", why).info();
    }
}

fn handle_message(
    control: &Rc<Control>,
    outgoing: &SendQueue,
    sender: &mut Sender,
    message: ToControl,
) {
    match message {
        ToControl::Entry(FromEntry::Hello { name, boot, configuration, known }) => {
            control.reported_entry_count.update(|count| count.max(known));
            *sender = admit_entry(control, outgoing, (name, boot), configuration);
        }
        ToControl::Entry(FromEntry::Ping { sent_us }) => {
            if let Some(entry) = entry_of(control, sender)
                && entry.configuration_delivery.get() == ConfigurationDelivery::Unknown
            {
                entry.configuration_delivery.set(ConfigurationDelivery::Sent);
                // This version cannot decode differences between configurations.
                if control.machine.borrow().version() > entry.initial_version {
                    send_configuration(control, &entry, 0);
                }
            }
            let time = control.known_time();
            let time_us = time.map(|time| time.as_micros() as u64);
            outgoing.send(&ToEntry::Pong { sent_us, time_us });
            outgoing.send(&ToEntry::EndpointsKnownFor(control.endpoints_known_for()));
        }
        ToControl::Entry(FromEntry::Leaving(reports)) => {
            dissemination::merge_endpoints(control, &reports, Source::Entry);
        }
        ToControl::Entry(FromEntry::Usage(report)) => {
            if let Sender::Entry { incarnation, .. } = sender {
                let now = control.now();
                control.usage_ledger.borrow_mut().merge(now, incarnation, &report);
            }
        }
        ToControl::Entry(FromEntry::CallerTimes(callers)) => {
            if let Sender::Entry { incarnation, .. } = sender {
                let slot = control.now().slot;
                control.usage_ledger.borrow_mut().callers().merge(slot, incarnation, &callers);
            }
        }
        ToControl::Entry(FromEntry::Loads(loads)) => {
            if let Sender::Entry { incarnation, .. } = sender {
                control.usage_ledger.borrow_mut().loads().update(incarnation, &loads);
            }
        }
        ToControl::Entry(FromEntry::Parts(parts)) => {
            control.cached_parts.borrow_mut().record(clock::now(), &parts);
        }
        ToControl::Entry(FromEntry::QuarantineRecords(records)) => {
            dissemination::merge_quarantine_records(control, &records, Source::Entry);
        }
        ToControl::Entry(FromEntry::Limits(limits)) => {
            dissemination::merge_limits(control, &limits, Source::Entry);
        }
        ToControl::Entry(FromEntry::OfferConfigurations) => {
            if let Some(entry) = entry_of(control, sender) {
                offer_configurations(control, &entry);
            }
        }
        ToControl::Entry(FromEntry::RequestConfiguration { have }) => {
            if let Some(entry) = entry_of(control, sender) {
                send_configuration(control, &entry, have);
            }
        }
        ToControl::Entry(FromEntry::Listens { address, availability_zone }) => {
            if let Some(entry) = entry_of(control, sender) {
                let name = entry.incarnation.0.clone();
                entry.listens.replace(Some(Neighbour { name, address, availability_zone }));
            }
        }
        ToControl::Entry(FromEntry::StreamOrigins(records)) => {
            control.stream_origins.borrow_mut().merge(clock::now(), &records);
        }
        ToControl::Entry(FromEntry::FindStreamOrigin { stream }) => {
            let origins = control.stream_origins.borrow();
            let origin = origins.find(clock::now(), stream).cloned();
            outgoing.send(&ToEntry::StreamOrigin { stream, origin });
        }
        ToControl::Entry(FromEntry::RolloutReports(reports)) => {
            if let Sender::Entry { incarnation, .. } = sender {
                rollouts::record(control, incarnation, reports);
            }
        }
        ToControl::Entry(FromEntry::Done) => {
            if let Sender::Entry { incarnation, .. } = sender {
                control.usage_ledger.borrow_mut().mark_done(incarnation);
                Line::new("entry_done")
                    .with("entry", &incarnation.0)
                    .with("boot", incarnation.1)
                    .info();
            }
        }
        ToControl::Entry(FromEntry::Subscribe(subscription)) => {
            if let Sender::Entry { link, .. } = sender {
                entry_updates::subscribe(control, *link, subscription);
            }
        }
        ToControl::Control(message) => {
            handle_control_message(control, outgoing, sender, message);
        }
    }
}

/// The connection of the entry box that sent a message.
fn entry_of(control: &Control, sender: &Sender) -> Option<Rc<EntryLink>> {
    let Sender::Entry { link, .. } = sender else { return None };
    control.entry_links.borrow().get(link).cloned()
}

/// Registers an entry box and sends it the state that it needs; `initial_version` is the version of
/// the configuration that it has.
fn admit_entry(
    control: &Control,
    outgoing: &SendQueue,
    incarnation: EntryIncarnation,
    initial_version: Version,
) -> Sender {
    control.next_link.update(|link| link + 1);
    let link = control.next_link.get();
    Line::new("entry_connected").with("entry", &incarnation.0).with("boot", incarnation.1).info();
    let availability_zone = control.settings.availability_zone.clone();
    outgoing.send(&ToEntry::Hello { availability_zone });
    outgoing.send(&ToEntry::ControlBoxes(control_boxes(control)));
    // Before the endpoints, so that none of a version on trial is taken for one in use.
    if let Some(message) = rollouts::message(control) {
        outgoing.send(&message);
    }
    let reports = control.registry.borrow().reports(clock::now());
    outgoing.send(&ToEntry::Registry(reports));
    if let Some(remaining) = remembered::remaining(control) {
        let endpoints = control.remembered.borrow().clone();
        outgoing.send(&ToEntry::Remembered { endpoints, left_ms: remaining.as_millis() as u64 });
    }
    let subscription = Cell::default();
    let entry = EntryLink {
        incarnation: incarnation.clone(),
        outgoing: outgoing.clone(),
        subscription,
        box_number: Cell::default(),
        initial_version,
        listens: RefCell::default(),
        neighbours_sent: RefCell::default(),
        configuration_delivery: Cell::new(ConfigurationDelivery::Unknown),
    };
    control.entry_links.borrow_mut().insert(link, Rc::new(entry));
    Sender::Entry { link, incarnation }
}

/// Addresses at which the members accept connections of other boxes; empty while this box does not
/// know the members.
pub(super) fn control_boxes(control: &Control) -> Vec<SocketAddr> {
    let node = control.node.borrow();
    let members = node.log().members();
    let boxes: BTreeSet<_> = members.all().map(|node| control.cluster_address(node)).collect();
    boxes.into_iter().collect()
}

fn handle_control_message(
    control: &Rc<Control>,
    outgoing: &SendQueue,
    sender: &mut Sender,
    message: BetweenControl,
) {
    if let BetweenControl::Hello { node } = message {
        *sender = Sender::Control { node };
        outgoing.keep_open();
        // The peer may have missed updates while there was no connection.
        for message in dissemination::full_state(control) {
            outgoing.send(&message);
        }
        return;
    }
    let Sender::Control { node } = *sender else {
        control.unreadable_messages.update(|count| count + 1);
        return;
    };
    match message {
        BetweenControl::Hello { .. } => {}
        BetweenControl::Ping { time_us, kept_us } => {
            let now = clock::now();
            let mut clock = control.clock.borrow_mut();
            clock.record_peer_time(now, node, Duration::from_micros(time_us));
            if let Some(established) = kept_us {
                clock.record_peer_cluster_time(now, node, Duration::from_micros(established));
            }
            drop(clock);
            outgoing.send(&peers::ping(control));
        }
        BetweenControl::Agreement { to, message } => {
            if to == control.node.borrow().id() {
                group::step(control, Event::Message { from: node, message });
            }
        }
        BetweenControl::Join { node: joining } => {
            group::record_join_request(control, node, joining);
        }
        message => dissemination::merge_from_control(control, message),
    }
}
