//! The leader's duties towards the cloud: usage reports of organisations, and orders of replicas.
//!
//! A report is committed to the Raft log before it is sent, since the next leader must send the
//! same one. The leader fixes the counts of a window shortly after its end and sends them until the
//! cloud has accepted them. A new leader sends the latest reports again, which the cloud recognises
//! as the same.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use vaneway_ledger::UsageLedger;
use vaneway_ledger::Window;

use crate::core::control::capacity::Orders;
use crate::core::control::cloud_calls;
use crate::core::control::entry_updates;
use crate::core::control::group;
use crate::core::control::machine::Command;
use crate::core::control::protocol::CloudProtocol;
use crate::core::control::state::Control;
use crate::core::settings::CloudSettings;
use crate::util::clock;
use crate::util::logline::Line;

/// Interval between two checks of what is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Delay after a window's end until its counts are fixed; entry boxes have reported them by then.
const FIX_DELAY: Duration = Duration::from_millis(1_500);

/// The same while an entry box that may be running has reported nothing since the window's end, as
/// it may be partitioned for a while. Long enough for most partitions, and short enough that a
/// report is in time even if the leader fails at that moment.
const MAX_FIX_DELAY: Duration = Duration::from_secs(5);

/// Maximum time to commit the counts of a window.
const FIX_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of windows before the present one for which a report may still be useful.
const MAX_WINDOWS_BACK: u64 = 4;

/// Performs the leader's duties until dropped.
pub async fn run<C: CloudProtocol>(control: Rc<Control>, protocol: C) {
    let Some(cloud) = control.settings.cloud.clone() else { return };
    let mut sent = BTreeSet::new();
    let mut first_window: Option<Window> = None;
    let mut orders = Orders::default();
    loop {
        control.timers.sleep(CHECK_INTERVAL).await;
        if cloud.capacity_orders {
            if cloud_calls::holds_duty(&control) {
                orders.place_due(&control, &cloud, &protocol).await;
            } else {
                orders.observe(&control);
            }
        }
        if cloud.usage_reports {
            let window = control.now().window;
            let first = *first_window.get_or_insert(window);
            if cloud_calls::holds_duty(&control) {
                fix_reports(&control, first, window).await;
                send_reports(&control, &cloud, &protocol, &mut sent, window).await;
            }
        }
    }
}

/// Whether this box must report a window that has ended: it was running in that window, or entry
/// boxes report requests in it. The latter also covers a window that ended while all control boxes
/// were down.
pub fn is_report_due(ledger: &UsageLedger, reported: bool, first: Window, window: Window) -> bool {
    !reported && (window >= first || ledger.has_window(window))
}

/// Whether the usage from `begin` to `end` is completely reported, where `known` entry boxes may be
/// running: each has reported since. If no box has, the usage is unknown.
pub fn is_usage_complete(ledger: &UsageLedger, begin: Duration, end: Duration, known: u32) -> bool {
    let (first, last) = (vaneway_quota::slot(begin), vaneway_quota::slot(end));
    !ledger.awaits_reports(first, last) && ledger.reporters_since(last) >= known.max(1)
}

/// Fixes the counts of windows that have ended and have no report yet; `first` is the window in
/// which this box started its duties.
async fn fix_reports(control: &Rc<Control>, first: Window, present: Window) {
    let length = control.settings.window;
    for window in present.saturating_sub(MAX_WINDOWS_BACK)..present {
        let reported = control.machine.borrow().usage().contains_key(&window);
        if !is_report_due(&control.usage_ledger.borrow(), reported, first, window) {
            continue;
        }
        let begin = Duration::from_millis(window * length.as_millis() as u64);
        let end = begin + length;
        let known = entry_updates::sharers(control).known;
        let since_end = control.time().saturating_sub(end);
        let is_complete = is_usage_complete(&control.usage_ledger.borrow(), begin, end, known);
        if since_end < if is_complete { FIX_DELAY } else { MAX_FIX_DELAY } {
            continue;
        }
        let counts = control.usage_ledger.borrow().counts(window);
        Line::new("usage_fixed")
            .with("window", window)
            .with("requests", counts.values().sum::<u64>())
            .with("whole", is_complete)
            .with("heard", control.usage_ledger.borrow().reporters_since(vaneway_quota::slot(end)))
            .with("known", known)
            .with("ended_ms_ago", since_end.as_millis())
            .info();
        let command = Command::FixUsage { window, counts };
        group::propose(control, &command, clock::now() + FIX_TIMEOUT).await;
    }
}

/// Sends the reports that the cloud has not yet accepted from this box.
async fn send_reports<C: CloudProtocol>(
    control: &Rc<Control>,
    cloud: &CloudSettings,
    protocol: &C,
    sent: &mut BTreeSet<Window>,
    present: Window,
) {
    let from = present.saturating_sub(MAX_WINDOWS_BACK);
    sent.retain(|window| *window >= from);
    let due: Vec<_> = {
        let machine = control.machine.borrow();
        let due = machine.usage().range(from..).filter(|(window, _)| !sent.contains(window));
        due.map(|(window, counts)| (*window, counts.clone())).collect()
    };
    for (window, counts) in due {
        if !cloud_calls::holds_duty(control) {
            return;
        }
        let holder = control.holder();
        let req = protocol.usage_report(&holder, window, &counts);
        let accepted = cloud_calls::call(control, cloud, req).await.is_success();
        Line::new("usage_report")
            .with("window", window)
            .with("requests", counts.values().sum::<u64>())
            .with("fence", holder.fence)
            .with("taken", accepted)
            .info();
        if accepted {
            sent.insert(window);
        }
    }
}
