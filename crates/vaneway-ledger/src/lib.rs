//! Usage, load and quota usage that entry boxes report to control boxes, without I/O.
//!
//! Why: a control box decides for the whole deployment (what is reported to the cloud, how many
//! replicas are ordered, what each entry box may admit) and knows only what entry boxes report.
//! Reports may be repeated, late or lost, and entry boxes restart with counters at zero.
//!
//! Data flow: an entry box counts what its requests use in its [`LocalUsage`] and sends a
//! [`UsageReport`] several times a second, and the [`Loads`] that changed in between. A control box
//! merges them in its [`UsageLedger`] ([`UsageLedger::merge`]), which contains a [`LoadLedger`] and
//! a [`QuotaLedger`]. It sends the sums to entry boxes, and bases its decisions on them and on the
//! [`ReportCoverage`]: how many of the entry boxes they come from.
//!
//! The counts of one [`EntryIncarnation`] only grow, so merging a report twice changes nothing.
//! Usage is divided by cluster time ([`ClusterNow`]) into accounting windows and quota slots.

mod caller_ledger;
mod caller_times;
mod cluster_time;
mod entry_incarnation;
mod load_ledger;
mod local_usage;
mod quota_ledger;
mod quota_usage;
mod report_tracker;
mod usage_ledger;
mod usage_report;

pub use caller_ledger::CallerLedger;
pub use caller_times::CallerTimes;
pub use caller_times::ObjectiveCounts;
pub use cluster_time::ClusterNow;
pub use cluster_time::ClusterTime;
pub use cluster_time::Window;
pub use entry_incarnation::EntryIncarnation;
pub use load_ledger::LoadLedger;
pub use load_ledger::Loads;
pub use local_usage::LocalUsage;
pub use local_usage::RETAINED_WINDOWS;
pub use quota_ledger::QuotaLedger;
pub use quota_ledger::QuotaTotal;
pub use quota_ledger::QuotaTotals;
pub use quota_usage::OthersQuotaUsage;
pub use quota_usage::OwnQuotaUsage;
pub use quota_usage::SlotUnits;
pub use report_tracker::ReportCoverage;
pub use usage_ledger::UsageLedger;
pub use usage_report::Counts;
pub use usage_report::EngineUsage;
pub use usage_report::UsageReport;
