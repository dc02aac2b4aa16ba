//! Values that several sections of the settings have, and their ranges.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::util::findings::Fields;
use crate::util::findings::JsonNode;

/// One day in milliseconds, the maximum of all durations except for the retention of claims.
pub(super) const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

/// Range of durations that may be zero.
pub(super) const DURATION_RANGE_MS: RangeInclusive<u64> = 0..=DAY_MS;

/// Range of durations that must not be zero.
pub(super) const NONZERO_DURATION_RANGE_MS: RangeInclusive<u64> = 1..=DAY_MS;

/// Range of sizes in bytes, up to one gibibyte.
pub(super) const SIZE_RANGE_BYTES: RangeInclusive<u64> = 1..=1 << 30;

/// Reads an optional duration in seconds, which may have a fraction.
pub(super) fn seconds(fields: &mut Fields<'_>, name: &'static str, default: f64) -> Duration {
    Duration::from_secs_f64(fields.float(name, 0.001..=86_400.0, default))
}

/// Reads the addresses of control boxes. Any address of a control box may be given: its port is
/// replaced by `port`, which all control boxes use for other boxes.
pub(super) fn seeds(fields: &mut Fields<'_>, port: u16) -> Vec<SocketAddr> {
    let seeds = fields.items("seeds");
    if seeds.is_empty() {
        fields.node().report("field `seeds` must list at least one control box");
    }
    let mut addresses = seeds.into_iter().map(|node| address(Some(node)));
    let mut addresses: Vec<_> = addresses.by_ref().collect();
    for address in &mut addresses {
        address.set_port(port);
    }
    addresses
}

/// Reads a list of strings.
pub(super) fn strings(fields: &mut Fields<'_>, name: &'static str) -> Vec<String> {
    fields.items(name).iter().filter_map(JsonNode::string).collect()
}

/// Reads an optional duration in milliseconds.
pub(super) fn millis(
    fields: &mut Fields<'_>,
    name: &'static str,
    range: RangeInclusive<u64>,
    default: u64,
) -> Duration {
    Duration::from_millis(fields.integer(name, range, default))
}

/// Reads an address. Returns the unspecified address if it is missing or invalid; a finding has
/// been added then.
pub(super) fn address(node: Option<JsonNode<'_>>) -> SocketAddr {
    let expected = "an IP address and port such as `127.0.0.1:8080`";
    node.and_then(|node| node.parse(expected, |text| text.parse().ok()))
        .unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
}

/// Reads an availability zone, which must be one of the `known` ones. Returns an empty name if it
/// is missing or invalid; a finding has been added then.
pub(super) fn zone(node: Option<JsonNode<'_>>, known: &[String]) -> String {
    let expected = format!("one of the availability zones ({})", known.join(", "));
    let known = |text: &str| known.iter().find(|zone| *zone == text).cloned();
    node.and_then(|node| node.parse(&expected, known)).unwrap_or_default()
}
