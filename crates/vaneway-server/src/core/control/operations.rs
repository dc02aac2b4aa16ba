//! Operations of a control box for operators and endpoints, independent of the protocol.

use std::rc::Rc;
use std::time::Duration;

use vaneway_agreement::NodeId;
use vaneway_agreement::Role;
use vaneway_registry::Report;

use crate::core::configuration;
use crate::core::control::dissemination;
use crate::core::control::dissemination::Source;
use crate::core::control::group;
use crate::core::control::machine::Command;
use crate::core::control::machine::ConfigurationDocument;
use crate::core::control::state::Control;
use crate::core::control::state::ProposalOutcome;
use crate::util::clock;
use crate::util::findings::Finding;
use crate::util::findings::Findings;
use crate::util::logline::Line;

/// Maximum wait for the commitment of an operator's change: shorter than operators wait for a
/// response.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(850);

/// Why an operation was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// Another control box is the leader.
    NotLeader {
        /// Node id of the leader.
        leader: NodeId,
    },
    /// No leader is known or reachable in time; the change may still come into force.
    Unavailable,
    /// The configuration is invalid.
    Invalid(Vec<Finding>),
}

/// Puts a configuration in force at all boxes. A configuration whose version is not higher than
/// that of the one in force is accepted without effect.
///
/// # Errors
///
/// A [`Refusal`] with the reason.
pub async fn configure(
    control: &Rc<Control>,
    proposed: ConfigurationDocument,
) -> Result<(), Refusal> {
    let findings = Findings::new();
    configuration::check(&proposed.configuration, &findings);
    let findings = findings.take();
    if !findings.is_empty() {
        return Err(Refusal::Invalid(findings));
    }
    require_leader(control, "configure")?;
    let version = proposed.configuration.version;
    if control.has_valid_lease() && control.machine.borrow().version() >= version {
        return Ok(());
    }
    let until = clock::now() + COMMIT_TIMEOUT;
    let command = Command::Configure(proposed);
    let outcome = group::propose(control, &command, until).await;
    Line::new("configure").with("version", version).with("became", format!("{outcome:?}")).info();
    match outcome {
        Some(ProposalOutcome::Committed) => Ok(()),
        Some(ProposalOutcome::NotTaken) | None => Err(Refusal::Unavailable),
    }
}

/// The newest committed configuration, guaranteed by the leader's lease; none if there has never
/// been one.
///
/// # Errors
///
/// A [`Refusal`] if this box is not the leader or has no valid lease.
pub fn newest_configuration(
    control: &Control,
) -> Result<Option<Rc<ConfigurationDocument>>, Refusal> {
    require_leader(control, "read")?;
    if !control.has_valid_lease() {
        log_refused(control, "read", "no quorum answered within the lease");
        return Err(Refusal::Unavailable);
    }
    Ok(control.machine.borrow().current_configuration().cloned())
}

/// Logs why an operator's call was refused for a reason other than its content.
fn log_refused(control: &Control, call: &str, why: &str) {
    let node = control.node.borrow();
    Line::new("configuration_call_refused")
        .with("call", call)
        .with("why", why)
        .with("role", format!("{:?}", node.role()))
        .with("term", node.term())
        .with("committed", node.committed())
        .with("led_ms_ago", clock::elapsed(control.last_leader_at.get()).as_millis())
        .info();
}

/// Refuses a call unless this box is the leader.
pub(super) fn require_leader(control: &Control, call: &str) -> Result<(), Refusal> {
    let node = control.node.borrow();
    if node.role() == Role::Leader {
        return Ok(());
    }
    match node.leader() {
        Some(leader) if leader != node.id() => Err(Refusal::NotLeader { leader }),
        _ => {
            drop(node);
            log_refused(control, call, "no leader is known");
            Err(Refusal::Unavailable)
        }
    }
}

/// Applies an endpoint's report about itself.
pub fn record_endpoint_report(control: &Control, report: &Report) {
    dissemination::merge_endpoints(control, std::slice::from_ref(report), Source::Endpoint);
}
