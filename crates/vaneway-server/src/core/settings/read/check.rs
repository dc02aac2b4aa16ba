//! Checks of an entry box's settings that involve more than one field.

use std::collections::BTreeMap;

use crate::core::settings::Settings;
use crate::util::findings::Findings;

/// Checks that names, tokens and addresses are unique where they must be, and that the peers and
/// the operators' address don't conflict with the box's own settings.
pub(super) fn check_names(settings: &Settings, findings: &Findings) {
    let mut unique = UniqueValues::new(findings);
    for (i, service) in settings.services.iter().enumerate() {
        unique.add("service", format!("$.services[{i}].name"), &service.name);
        for (j, model) in service.models.iter().enumerate() {
            unique.add("model", format!("$.services[{i}].models[{j}]"), model);
        }
    }
    for (i, organisation) in settings.organisations.iter().enumerate() {
        let path = format!("$.organisations[{i}]");
        unique.add("organisation", format!("{path}.name"), &organisation.name);
        unique.add("token", format!("{path}.token"), &organisation.token);
    }
    let mut position = BTreeMap::new();
    for replica in &settings.replicas {
        let i = position.entry(replica.service).or_insert(0_usize);
        let path = format!("$.services[{}].replicas[{i}]", replica.service);
        *i += 1;
        unique.add("replica", format!("{path}.name"), &replica.name);
        unique.add("address", format!("{path}.address"), &replica.address.to_string());
    }
    for (i, peer) in settings.peers.iter().enumerate() {
        if peer.name == settings.name {
            let message = "a box can't be its own peer, list only the others";
            findings.report(format!("$.peers[{i}].name"), message);
        }
        unique.add("peer", format!("$.peers[{i}].name"), &peer.name);
    }
    if settings.cluster.is_none() && !settings.peers.is_empty() {
        let message = "peers need `$.cluster` with `listen` and `key`, add it";
        findings.report("$.peers", message);
    }
    if settings.forwarded_listen.is_some_and(|listen| listen.ip().is_unspecified()) {
        let message = "other boxes can't connect to an unspecified address, set one of this box";
        findings.report("$.forwarded_listen", message);
    }
    if settings.listen == settings.operators.listen && settings.listen.port() != 0 {
        let message = "same address as `$.listen`, set a different one for operators";
        findings.report("$.operators.listen", message);
    }
}

/// Checks that a planned stop gives every request the full time until its deadline.
pub(super) fn check_deadlines(settings: &Settings, findings: &Findings) {
    for (i, service) in settings.services.iter().enumerate() {
        if service.deadline > settings.stop.drain_timeout {
            let message = format!(
                "longer than `$.stop.finish_ms` ({}), so a planned stop could cut a request off; \
                 shorten it or raise `finish_ms`",
                settings.stop.drain_timeout.as_millis()
            );
            findings.report(format!("$.services[{i}].deadline_ms"), message);
        }
    }
}

/// Reports values that occur more than once.
struct UniqueValues<'a> {
    /// The path of the first occurrence of each value, by kind and value.
    seen: BTreeMap<(&'static str, String), String>,
    findings: &'a Findings,
}

impl<'a> UniqueValues<'a> {
    fn new(findings: &'a Findings) -> Self {
        Self { seen: BTreeMap::new(), findings }
    }

    fn add(&mut self, kind: &'static str, path: String, name: &str) {
        if name.is_empty() {
            return;
        }
        let first = self.seen.entry((kind, name.to_owned())).or_insert_with(|| path.clone());
        if *first != path {
            let shown = if kind == "token" { "this token" } else { name };
            self.findings.report(path, format!("{shown} is already used at {first}"));
        }
    }
}
