//! Reads the settings of an entry box.

use std::ops::RangeInclusive;

use vaneway_route::Policy;

use crate::core::settings::ClaimSettings;
use crate::core::settings::Cluster;
use crate::core::settings::Exposure;
use crate::core::settings::FollowSettings;
use crate::core::settings::Limits;
use crate::core::settings::OperatorToken;
use crate::core::settings::Operators;
use crate::core::settings::Organisation;
use crate::core::settings::Peer;
use crate::core::settings::Platform;
use crate::core::settings::QuotaAllowance;
use crate::core::settings::RetryAllowance;
use crate::core::settings::Routing;
use crate::core::settings::Settings;
use crate::core::settings::ShortageDecisions;
use crate::core::settings::Stop;
use crate::core::settings::read::leaving_zone::leaving_zone;
use crate::core::settings::read::service::service;
use crate::core::settings::read::values::DAY_MS;
use crate::core::settings::read::values::DURATION_RANGE_MS;
use crate::core::settings::read::values::NONZERO_DURATION_RANGE_MS;
use crate::core::settings::read::values::SIZE_RANGE_BYTES;
use crate::core::settings::read::values::address;
use crate::core::settings::read::values::millis;
use crate::core::settings::read::values::seconds;
use crate::core::settings::read::values::seeds;
use crate::core::settings::read::values::strings;
use crate::core::settings::read::values::zone;
use crate::util::findings::Fields;
use crate::util::findings::JsonNode;

/// Minimum length of the key that the boxes share.
const MIN_KEY_BYTES: usize = 16;

/// Default port on which control boxes listen for other boxes.
const DEFAULT_CLUSTER_PORT: u64 = 7_600;

/// Range of the retention of claims, up to 31 days.
const RETENTION_RANGE_MS: RangeInclusive<u64> = 1_000..=31 * DAY_MS;

/// Minimum of the limit for the size of a request's head: the smallest read buffer that hyper
/// accepts.
const MIN_HEADER_BYTES: u64 = 8_192;

/// Reads all sections.
pub(super) fn read(mut fields: Fields<'_>) -> Settings {
    // Already read to choose the role; here it is only marked as known.
    fields.optional("role");
    let name = fields.string("name");
    let availability_zones = strings(&mut fields, "availability_zones");
    let availability_zone = zone(fields.required("availability_zone"), &availability_zones);
    let listen = address(fields.required("listen"));
    let operators = fields.required("operators").and_then(|node| node.object()).map(operators);
    let operators =
        operators.unwrap_or_else(|| Operators { listen: address(None), tokens: Vec::new() });
    let platform = fields.optional("platform").and_then(|node| node.object()).map(platform);
    let cluster = fields.optional("cluster").and_then(|node| node.object()).map(cluster);
    let follow = fields.optional("control").and_then(|node| node.object()).map(follow);
    let ready = fields.optional("ready").map(|node| address(Some(node)));
    let forwarded_listen = fields.optional("forwarded_listen").map(|node| address(Some(node)));
    let peers = fields.items("peers").iter().filter_map(JsonNode::object).map(peer).collect();
    let data_folder = fields.optional("data_folder").and_then(|node| node.string());
    let organisations = fields.items("organisations");
    let organisations =
        organisations.iter().filter_map(JsonNode::object).map(organisation).collect();
    let mut replicas = Vec::new();
    let mut services = Vec::new();
    let services_given =
        if follow.is_some() { fields.optional("services") } else { fields.required("services") };
    if services_given.is_some() {
        for node in fields.items("services") {
            let Some(object) = node.object() else { continue };
            let id = services.len() as u32;
            services.push(service(object, id, &availability_zones, &mut replicas));
        }
    }
    let routing = routing(fields.section("routing"), &availability_zones);
    let limits = limits(fields.section("limits"));
    let stop = stop(fields.section("stop"));
    let claims = claims(fields.section("claims"));
    fields.finish();
    Settings {
        name,
        availability_zone,
        availability_zones,
        listen,
        operators,
        platform,
        cluster,
        follow,
        ready,
        forwarded_listen,
        peers,
        data_folder: data_folder.map(Into::into),
        organisations,
        services,
        replicas,
        routing,
        limits,
        stop,
        claims,
    }
}

fn operators(mut fields: Fields<'_>) -> Operators {
    let listen = address(fields.required("listen"));
    let tokens = fields.items("tokens");
    let tokens = tokens.iter().filter_map(JsonNode::object).map(|mut fields| {
        let token = OperatorToken { name: fields.string("name"), token: fields.string("token") };
        fields.finish();
        token
    });
    let operators = Operators { listen, tokens: tokens.collect() };
    fields.finish();
    operators
}

fn platform(mut fields: Fields<'_>) -> Platform {
    let platform = Platform {
        address: address(fields.required("address")),
        list_interval: millis(&mut fields, "list_every_ms", NONZERO_DURATION_RANGE_MS, 1_000),
        notice_poll_timeout: millis(
            &mut fields,
            "notice_wait_ms",
            NONZERO_DURATION_RANGE_MS,
            20_000,
        ),
    };
    fields.finish();
    platform
}

fn cluster(mut fields: Fields<'_>) -> Cluster {
    let cluster = Cluster { listen: address(fields.required("listen")), key: fields.string("key") };
    if cluster.key.len() < MIN_KEY_BYTES {
        let message = format!("`key` must have at least {MIN_KEY_BYTES} characters");
        fields.node().report(message);
    }
    fields.finish();
    cluster
}

fn follow(mut fields: Fields<'_>) -> FollowSettings {
    let port = fields.integer("port", 1..=u64::from(u16::MAX), DEFAULT_CLUSTER_PORT) as u16;
    let settings = FollowSettings {
        seeds: seeds(&mut fields, port),
        window: seconds(&mut fields, "usage_window_s", 60.0),
        quota: quota(fields.section("quota")),
        retries: retries(fields.section("retries")),
        exposure: fields.optional("exposure").and_then(|node| node.object()).map(exposure),
    };
    fields.finish();
    settings
}

fn quota(mut fields: Fields<'_>) -> QuotaAllowance {
    let allowance = QuotaAllowance {
        window: seconds(&mut fields, "window_s", 10.0),
        overage: fields.float("overage", 0.0..=10.0, 0.0),
        slack: fields.float("slack", 0.0..=1e12, 0.0),
    };
    fields.finish();
    allowance
}

fn retries(mut fields: Fields<'_>) -> RetryAllowance {
    let allowance = RetryAllowance {
        share: fields.float("share", 0.0..=10.0, 0.1),
        slack: fields.float("slack", 0.0..=1e9, 20.0),
    };
    fields.finish();
    allowance
}

fn exposure(mut fields: Fields<'_>) -> Exposure {
    let exposure = Exposure {
        share: fields.float("share", 0.0..=1.0, 0.1),
        slack: fields.float("slack", 0.0..=1e9, 0.0),
    };
    fields.finish();
    exposure
}

fn peer(mut fields: Fields<'_>) -> Peer {
    let peer = Peer { name: fields.string("name"), address: address(fields.required("address")) };
    fields.finish();
    peer
}

fn organisation(mut fields: Fields<'_>) -> Organisation {
    let organisation = Organisation {
        name: fields.string("name"),
        token: fields.string("token"),
        priority: fields.integer("priority", 0..=9, 5) as u8,
    };
    fields.finish();
    organisation
}

fn routing(mut fields: Fields<'_>, zones: &[String]) -> Routing {
    let names: Vec<_> = Policy::ALL.iter().map(|policy| policy.name()).collect();
    let expected = format!("one of {}", names.join(", "));
    let policy = fields.optional("policy").and_then(|p| p.parse(&expected, Policy::from_name));
    let routing = Routing {
        policy: policy.unwrap_or_default(),
        seed: fields.integer("seed", 0..=u64::MAX, 1),
        fresh_for_at_most_once: fields
            .optional("fresh_for_at_most_once")
            .and_then(|node| node.boolean())
            .unwrap_or(true),
        leaving_zone: fields
            .optional("leaving_zone")
            .and_then(|node| node.object())
            .map(|fields| leaving_zone(fields, zones)),
        shortage: shortage(fields.section("shortage")),
    };
    fields.finish();
    routing
}

fn shortage(mut fields: Fields<'_>) -> ShortageDecisions {
    let mut is_on =
        |name| fields.optional(name).and_then(|node| node.boolean()).unwrap_or_default();
    let decisions = ShortageDecisions { order: is_on("order"), shares: is_on("shares") };
    fields.finish();
    decisions
}

fn limits(mut fields: Fields<'_>) -> Limits {
    let limits = Limits {
        header_bytes: fields.integer("header_bytes", MIN_HEADER_BYTES..=1 << 20, 16_384) as usize,
        body_bytes: fields.integer("body_bytes", SIZE_RANGE_BYTES, 4 << 20) as usize,
        stream_bytes: fields.integer("stream_bytes", SIZE_RANGE_BYTES, 64 << 10) as usize,
        answer_bytes: fields.integer("answer_bytes", SIZE_RANGE_BYTES, 1 << 20) as usize,
        answer_head_bytes: fields.integer("answer_head_bytes", MIN_HEADER_BYTES..=1 << 20, 64 << 10)
            as usize,
        event_bytes: fields.integer("event_bytes", SIZE_RANGE_BYTES, 256 << 10) as usize,
        token_bytes: fields.integer("token_bytes", SIZE_RANGE_BYTES, 1 << 10) as usize,
        long_answer_bytes: fields.integer("long_answer_bytes", SIZE_RANGE_BYTES, 1 << 30),
        held_bytes: fields.integer("held_bytes", SIZE_RANGE_BYTES, 16 << 20) as usize,
        open_requests: fields.integer("open_requests", 1..=1_000_000, 20_000) as usize,
        caller_stall_timeout: millis(
            &mut fields,
            "caller_stall_ms",
            NONZERO_DURATION_RANGE_MS,
            30_000,
        ),
    };
    fields.finish();
    limits
}

fn stop(mut fields: Fields<'_>) -> Stop {
    let stop = Stop {
        accept_grace: millis(&mut fields, "accept_ms", DURATION_RANGE_MS, 2_000),
        drain_timeout: millis(&mut fields, "finish_ms", DURATION_RANGE_MS, 120_000),
    };
    fields.finish();
    stop
}

fn claims(mut fields: Fields<'_>) -> ClaimSettings {
    let claims = ClaimSettings {
        retention: millis(&mut fields, "retention_ms", RETENTION_RANGE_MS, DAY_MS),
        snapshot_bytes: fields.integer("snapshot_bytes", SIZE_RANGE_BYTES, 16 << 20),
    };
    fields.finish();
    claims
}
