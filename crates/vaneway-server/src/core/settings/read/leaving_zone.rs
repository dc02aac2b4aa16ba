//! Reads the settings by which requests leave the availability zone.
//!
//! Operators state prices in money: of a gigabyte between zones, and of an hour of an endpoint, which
//! is the exchange rate. The rest of the system knows seconds of an endpoint alone.

use std::time::Duration;

use vaneway_route::LeavingZone;
use vaneway_route::MessageSizes;
use vaneway_route::ZoneLink;
use vaneway_route::ZonePair;

use crate::core::settings::read::values::DURATION_RANGE_MS;
use crate::core::settings::read::values::millis;
use crate::core::settings::read::values::zone;
use crate::util::findings::Fields;
use crate::util::findings::JsonNode;

/// Default of the network delay in one direction between zones: of one region.
const DEFAULT_DELAY_MS: f64 = 1.0;

/// Default of the minimum advantage: callers don't notice less, and the mean waits of two zones with
/// a dozen endpoints each differ by as much at random.
const DEFAULT_MIN_ADVANTAGE_MS: u64 = 20;

/// Defaults of the sizes in bytes: English text has four letters per token, and an event of a stream
/// is mostly its envelope.
const DEFAULT_SIZES: MessageSizes =
    MessageSizes { prompt_token: 4.0, response_token: 100.0, plain: 4_000.0 };

/// Maximum of a price, in any currency.
const MAX_PRICE: f64 = 1e6;

/// Minimum price of an hour of an endpoint; it divides the others.
const MIN_HOUR_PRICE: f64 = 1e-6;

/// Reads the section `routing.leaving_zone`.
pub(super) fn leaving_zone(mut fields: Fields<'_>, zones: &[String]) -> LeavingZone {
    let gb_price = required_float(&mut fields, "gb_price", 0.0);
    let hour_price = required_float(&mut fields, "endpoint_hour_price", MIN_HOUR_PRICE);
    let seconds_per_gb = |price: f64| price / hour_price * 3_600.0;
    let link = ZoneLink { seconds_per_gb: seconds_per_gb(gb_price), delay: delay(&mut fields) };
    let pair = |mut fields: Fields<'_>| {
        let between = fields.items("zones");
        if between.len() != 2 {
            fields.node().report("field `zones` must list two availability zones");
        }
        let mut between = between.into_iter().map(|node| zone(Some(node), zones));
        let zones = [(); 2].map(|()| between.next().unwrap_or_default());
        let gb_price = fields.float("gb_price", 0.0..=MAX_PRICE, gb_price);
        let delay_ms = link.delay.as_secs_f64() * 1_000.0;
        let delay = milliseconds(fields.float("delay_ms", 0.0..=10_000.0, delay_ms));
        fields.finish();
        ZonePair { zones, link: ZoneLink { seconds_per_gb: seconds_per_gb(gb_price), delay } }
    };
    let pairs = fields.items("pairs").iter().filter_map(JsonNode::object).map(pair).collect();
    let bytes = |fields: &mut Fields<'_>, name, default| fields.float(name, 0.0..=1e9, default);
    let leaving = LeavingZone {
        link,
        pairs,
        min_advantage: millis(
            &mut fields,
            "min_advantage_ms",
            DURATION_RANGE_MS,
            DEFAULT_MIN_ADVANTAGE_MS,
        ),
        sizes: MessageSizes {
            prompt_token: bytes(&mut fields, "prompt_token_bytes", DEFAULT_SIZES.prompt_token),
            response_token: bytes(
                &mut fields,
                "response_token_bytes",
                DEFAULT_SIZES.response_token,
            ),
            plain: bytes(&mut fields, "plain_bytes", DEFAULT_SIZES.plain),
        },
    };
    fields.finish();
    leaving
}

/// Reads a price, which must be given. Returns 1 if it is missing or invalid; a finding has been
/// added then.
fn required_float(fields: &mut Fields<'_>, name: &'static str, min: f64) -> f64 {
    fields.required(name).and_then(|node| node.float(min..=MAX_PRICE)).unwrap_or(1.0)
}

fn delay(fields: &mut Fields<'_>) -> Duration {
    milliseconds(fields.float("delay_ms", 0.0..=10_000.0, DEFAULT_DELAY_MS))
}

fn milliseconds(value: f64) -> Duration {
    Duration::from_secs_f64(value / 1_000.0)
}
