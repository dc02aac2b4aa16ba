//! What one attempt shows of the version of its endpoint while one is on trial.

use std::rc::Rc;
use std::time::Instant;

use vaneway_relay::Outcome;
use vaneway_rollout::CellKey;
use vaneway_route::EndpointId;

use crate::core::calls::attempt::CallItem;
use crate::core::endpoints::protocol::CallRequest;
use crate::core::entry::Entry;
use crate::util::clock;

/// An attempt that is compared with those of the other version.
pub(super) struct Sample {
    entry: Rc<Entry>,
    service: String,
    number: u64,
    key: CellKey,
    sent: Instant,
    first: Option<Instant>,
    last: Option<Instant>,
    pauses: u32,
    ended: bool,
}

impl Sample {
    /// Begins a sample; none if no version of the service is on trial here.
    pub(super) fn begin(
        entry: &Rc<Entry>,
        endpoint: EndpointId,
        request: &CallRequest,
    ) -> Option<Self> {
        let (number, target) = entry.rollouts.trial(&request.service_name)?;
        let pool = entry.pool.borrow();
        let spec = &pool.get(endpoint).spec;
        let sent = clock::now();
        // The neighbour counts the answers of endpoints that it chooses.
        if spec.is_neighbour() || !pool.is_trying(sent, request.service) {
            return None;
        }
        let key = CellKey {
            route: route_name(entry, request),
            zone: spec.availability_zone.clone(),
            replica: (spec.software == target).then(|| spec.name.clone()),
        };
        Some(Self {
            entry: Rc::clone(entry),
            service: request.service_name.clone(),
            number,
            key,
            sent,
            first: None,
            last: None,
            pauses: 0,
            ended: false,
        })
    }

    /// Takes in an item of the attempt's result.
    pub(super) fn observe(&mut self, item: &CallItem) {
        match item {
            CallItem::Head(_) => {}
            CallItem::Event(_) => self.observe_event(),
            CallItem::Response(response) => {
                self.first.get_or_insert_with(clock::now);
                self.end(!response.status().is_server_error());
            }
            CallItem::Ended { outcome: Outcome::Done, .. } => self.end(true),
            CallItem::Failed(_) | CallItem::Ended { outcome: Outcome::Unknown, .. } => {
                self.end(false);
            }
            // The endpoint did not run it.
            CallItem::Ended { outcome: Outcome::Refused | Outcome::NotSent, .. }
            | CallItem::Condemned
            | CallItem::NoEndpoint
            | CallItem::NoneLeft => self.ended = true,
        }
    }

    fn observe_event(&mut self) {
        let now = clock::now();
        if self.first.is_some() {
            self.pauses += 1;
        }
        self.first.get_or_insert(now);
        self.last = Some(now);
    }

    fn end(&mut self, is_ok: bool) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let first = self.first.map(|first| first - self.sent);
        let pause = self.first.zip(self.last).filter(|_| self.pauses > 0);
        let pause = pause.map(|(first, last)| (last - first) / self.pauses);
        self.entry.rollouts.record(&self.service, self.number, &self.key, |cell| {
            cell.ok += u32::from(is_ok);
            cell.failed += u32::from(!is_ok);
            if let Some(first) = first {
                cell.first.add(first);
            }
            if let Some(pause) = pause.filter(|_| is_ok) {
                cell.pause.add(pause);
            }
        });
    }
}

impl Drop for Sample {
    /// An attempt that is given up before its first event took at least this long.
    fn drop(&mut self) {
        if !self.ended && self.first.is_none() {
            let taken = clock::elapsed(self.sent);
            let add = |cell: &mut vaneway_rollout::Cell| cell.first.add(taken);
            self.entry.rollouts.record(&self.service, self.number, &self.key, add);
        }
    }
}

/// Name of the route of a request, also of one that another box forwards; its address if the route is
/// gone.
fn route_name(entry: &Entry, request: &CallRequest) -> String {
    let path = request.path.split('?').next().unwrap_or_default();
    let table = entry.table();
    let route = table.as_ref().and_then(|table| table.route(&request.addressed_to, path));
    route.map_or_else(|| request.addressed_to.clone(), |route| route.name.clone())
}
