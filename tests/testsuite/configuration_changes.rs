//! Changes between configurations, and the control box from which an entry box requests them,
//! without I/O.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use vaneway_server::core::cluster::configuration_source::ConfigurationSource;
use vaneway_server::core::configuration::CallerLimits;
use vaneway_server::core::configuration::Configuration;
use vaneway_server::core::configuration::OrganisationSpec;
use vaneway_server::core::configuration::QuotaUnit;
use vaneway_server::core::configuration::RequestKind;
use vaneway_server::core::configuration::Route;
use vaneway_server::core::configuration::ServiceSpec;
use vaneway_server::core::configuration::Target;
use vaneway_server::core::configuration_change::ConfigurationChange;
use vaneway_server::core::control::changes::ConfigurationHistory;
use vaneway_server::core::route_table::RouteTable;
use vaneway_test_support::configurations::with_routes;

use crate::property;

/// A generated configuration: the number (modulo 8) and content of each route, service and
/// organisation.
#[derive(Debug, Clone, TypeGenerator)]
struct Generated {
    routes: Vec<(u8, u8)>,
    services: Vec<(u8, u8)>,
    organisations: Vec<(u8, u8)>,
    header_bytes: u8,
}

fn route(i: u8, weight: u8) -> Route {
    Route {
        name: format!("route-{i}"),
        // Host names are compared without regard to case.
        host: if weight.is_multiple_of(2) { "calls.example" } else { "Calls.example" }.to_owned(),
        prefix: format!("/{i}/"),
        kind: RequestKind::Repeatable,
        timeout: Duration::from_secs(8),
        objective: Duration::from_secs(1),
        pause_objective: None,
        priority: 0,
        targets: vec![Target { service: "service".to_owned(), weight: u64::from(weight) + 1 }],
        max_attempts: 2,
        public: true,
        affine: false,
    }
}

fn service(i: u8, connections: u8) -> ServiceSpec {
    ServiceSpec {
        name: format!("service-{i}"),
        health_path: String::new(),
        max_connections: u32::from(connections),
        engine: None,
        capacity: None,
    }
}

fn organisation(i: u8, burst: u8) -> OrganisationSpec {
    OrganisationSpec {
        name: format!("organisation-{i}"),
        keys: [format!("key-{i}")].into(),
        priority: None,
        unit: QuotaUnit::Requests,
        rate: Some(1.0),
        burst: f64::from(burst),
    }
}

/// Makes one item for each number, in the order of their first occurrence.
fn distinct_items<T>(generated: &[(u8, u8)], make_item: impl Fn(u8, u8) -> T) -> Vec<T> {
    let mut seen = [false; 8];
    let first = generated.iter().map(|(i, content)| (i % 8, *content));
    let first = first.filter(|(i, _)| !std::mem::replace(&mut seen[usize::from(*i)], true));
    first.map(|(i, content)| make_item(i, content)).collect()
}

fn configuration(version: u64, generated: &Generated) -> Configuration {
    Configuration {
        version,
        routes: distinct_items(&generated.routes, route),
        services: distinct_items(&generated.services, service),
        limits: CallerLimits {
            header_bytes: usize::from(generated.header_bytes),
            ..CallerLimits::default()
        },
        organisations: distinct_items(&generated.organisations, organisation),
    }
}

/// Asserts that a table looks up routes and organisations as the configuration has them, also those
/// that do not exist.
fn assert_same(table: &RouteTable, configuration: &Configuration) {
    assert_eq!(
        (table.version(), table.limits(), table.routes()),
        (configuration.version, configuration.limits, configuration.routes.len())
    );
    for i in 0..8 {
        let prefix = format!("/{i}/");
        let route = configuration.routes.iter().find(|route| route.prefix == prefix);
        assert_eq!(table.route("calls.example", &prefix), route);
        let key = format!("key-{i}");
        let holds = |organisation: &&OrganisationSpec| organisation.keys.contains(&key);
        assert_eq!(table.organisation(&key), configuration.organisations.iter().find(holds));
    }
    let mut services: Vec<ServiceSpec> = table.services().cloned().collect();
    services.sort_by_key(|service| service.name.clone());
    let mut expected = configuration.services.clone();
    expected.sort_by_key(|service| service.name.clone());
    assert_eq!(services, expected);
    let mut organisations: Vec<OrganisationSpec> = table.organisations().cloned().collect();
    organisations.sort_by_key(|organisation| organisation.name.clone());
    let mut expected = configuration.organisations.clone();
    expected.sort_by_key(|organisation| organisation.name.clone());
    assert_eq!(organisations, expected);
}

/// Guards against an entry box that applies changes and ends with a configuration other than the
/// committed one.
#[test]
fn changes_from_any_version_lead_to_the_committed_configuration() {
    property::check("changes lead to the last version", 2_000, |generated: Vec<Generated>| {
        let versions =
            generated.iter().zip(1..).map(|(generated, version)| configuration(version, generated));
        let versions: Vec<Configuration> = versions.collect();
        let steps = versions.windows(2).map(|pair| {
            ConfigurationChange::between(&pair[0], &pair[1]).expect("each name occurs once")
        });
        let steps: Vec<ConfigurationChange> = steps.collect();
        for from in 0..steps.len() {
            let change = steps[from..].iter().cloned().reduce(ConfigurationChange::then);
            let changed = RouteTable::new(versions[from].clone()).changed(&change.unwrap());
            let last = versions.last().expect("a version");
            assert_same(&changed.expect("the change fits"), last);
        }
    });
}

/// Guards against a change that is applied to another version or content than the one it was made
/// for.
#[test]
fn change_is_refused_for_another_version_and_for_other_content_under_the_same_version() {
    let generated = Generated {
        routes: vec![(1, 1)],
        services: vec![],
        organisations: vec![],
        header_bytes: 1,
    };
    let base = configuration(1, &generated);
    let next = configuration(2, &Generated { routes: vec![(1, 1), (2, 2)], ..generated.clone() });
    let change = ConfigurationChange::between(&base, &next).unwrap();
    let other = configuration(1, &Generated { services: vec![(1, 1)], ..generated });
    assert!(RouteTable::new(other).changed(&change).is_none());
    assert!(RouteTable::new(next.clone()).changed(&change).is_none());
    assert_same(&RouteTable::new(base).changed(&change).expect("the change fits"), &next);
}

/// Guards against a key that is lost because its former organisation is removed or changed after
/// the new one was added.
#[test]
fn key_that_passes_from_one_organisation_to_another_is_held_by_the_other() {
    let generated =
        Generated { routes: vec![], services: vec![], organisations: vec![], header_bytes: 1 };
    let with = |version, organisations| Configuration {
        organisations,
        ..configuration(version, &generated)
    };
    let keyed = |i, keys: &[&str]| OrganisationSpec {
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        ..organisation(i, 1)
    };
    let base = with(1, vec![keyed(1, &["a"]), keyed(2, &["b"])]);
    let swapped = with(2, vec![keyed(1, &["b"]), keyed(2, &["a"])]);
    let merged = with(3, vec![keyed(2, &["a", "b"])]);
    let first = ConfigurationChange::between(&base, &swapped).unwrap();
    let second = ConfigurationChange::between(&swapped, &merged).unwrap();
    let table = RouteTable::new(base).changed(&first).expect("the change fits");
    let holder = |table: &RouteTable, key| table.organisation(key).map(|o| o.name.clone());
    assert_eq!(holder(&table, "a").as_deref(), Some("organisation-2"));
    assert_eq!(holder(&table, "b").as_deref(), Some("organisation-1"));
    let table = table.changed(&second).expect("the change fits");
    assert_eq!(holder(&table, "b").as_deref(), Some("organisation-2"));
}

#[test]
fn configurations_whose_parts_share_a_name_have_no_difference() {
    let generated =
        Generated { routes: vec![], services: vec![], organisations: vec![], header_bytes: 1 };
    let base = configuration(1, &generated);
    let mut next = configuration(2, &generated);
    next.organisations = vec![organisation(1, 1), organisation(1, 2)];
    assert_eq!(ConfigurationChange::between(&base, &next), None);
    assert_eq!(ConfigurationChange::between(&next, &base), None);
}

/// Maximum size of an update that carries one changed route, in bytes.
const MAX_CHANGE_BYTES: usize = 4 << 10;

/// Guards against updates of one changed route that are as large as the full configuration.
#[test]
fn one_changed_route_of_thousands_is_sent_in_few_bytes_and_another_version_is_sent_in_full() {
    let version = |version| -> Configuration {
        serde_json::from_value(with_routes(version, 5_000)).expect("a configuration")
    };
    let mut changes = ConfigurationHistory::default();
    changes.record(None, &version(1));
    for now in 2..=9 {
        changes.record(Some(&version(now - 1)), &version(now));
    }
    let bytes = |changes: &mut ConfigurationHistory, known_version| {
        changes.update_since(&version(9), known_version).frame().len()
    };
    for known_version in 1..9 {
        let bytes = bytes(&mut changes, known_version);
        assert!(bytes <= MAX_CHANGE_BYTES, "{bytes} bytes from version {known_version}");
    }
    let full = bytes(&mut changes, 0);
    assert!(full > MAX_CHANGE_BYTES);
    assert_eq!(bytes(&mut changes, 77), full);
}

fn control(i: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, i], 7_600))
}

/// The configuration source of an entry box that has version 1, and its clock.
struct Requester {
    source: ConfigurationSource,
    now: Instant,
}

impl Requester {
    fn start() -> Self {
        Self { source: ConfigurationSource::new(1), now: Instant::now() }
    }

    fn request_after(
        &mut self,
        delay_ms: u64,
        preferred: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        self.now += Duration::from_millis(delay_ms);
        self.source.next_request(self.now, 1, preferred)
    }
}

#[test]
fn preferred_control_box_is_awaited_for_a_short_time_before_another_one_is_asked() {
    let mut requester = Requester::start();
    requester.source.record_offer(control(1), 2);
    assert_eq!(requester.request_after(0, Some(control(2))), None);
    assert_eq!(requester.request_after(100, Some(control(2))), None);
    requester.source.record_offer(control(2), 2);
    assert_eq!(requester.request_after(10, Some(control(2))), Some(control(2)));
    // No second request while one is open.
    assert_eq!(requester.request_after(10, Some(control(2))), None);

    let mut requester = Requester::start();
    requester.source.record_offer(control(1), 2);
    assert_eq!(requester.request_after(0, Some(control(2))), None);
    assert_eq!(requester.request_after(150, Some(control(2))), Some(control(1)));
}

/// Guards against an entry box that keeps an old version because the control box from which it has
/// requested the new one does not respond.
#[test]
fn another_control_box_is_asked_once_a_response_is_late_or_its_connection_lost() {
    let mut requester = Requester::start();
    requester.source.record_offer(control(1), 2);
    requester.source.record_offer(control(2), 2);
    assert_eq!(requester.request_after(0, Some(control(1))), Some(control(1)));
    assert_eq!(requester.request_after(799, Some(control(1))), None);
    assert_eq!(requester.request_after(1, Some(control(1))), Some(control(2)));
    // The next request gets a longer timeout, because this box's own link may be the slow one.
    assert_eq!(requester.request_after(1_599, Some(control(1))), None);
    requester.source.disconnected(control(2));
    assert_eq!(requester.request_after(0, Some(control(1))), Some(control(1)));
}

#[test]
fn only_control_box_is_asked_again() {
    let mut requester = Requester::start();
    requester.source.record_offer(control(1), 2);
    assert_eq!(requester.request_after(0, None), Some(control(1)));
    assert_eq!(requester.request_after(800, None), Some(control(1)));
}

#[test]
fn no_control_box_is_asked_for_a_version_that_is_in_force_or_older() {
    let mut requester = Requester::start();
    requester.source.record_offer(control(1), 1);
    assert_eq!(requester.request_after(0, None), None);
    requester.source.record_offer(control(2), 3);
    assert_eq!(requester.request_after(0, Some(control(1))), None);
    assert_eq!(requester.request_after(200, Some(control(1))), Some(control(2)));
    requester.source.answered(control(2));
    assert_eq!(requester.source.next_request(requester.now, 3, Some(control(1))), None);
}
