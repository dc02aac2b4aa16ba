//! Requests that may not be repeated and carry an idempotency key run at most once, across repeats,
//! races, kills and restarts.

use hyper::Method;
use serde_json::json;
use vaneway_claims::Claim;
use vaneway_claims::ClaimKey;
use vaneway_claims::Command;
use vaneway_claims::Ledger;
use vaneway_claims::Reply;
use vaneway_claims::StoredResponse;
use vaneway_server::core::settings;
use vaneway_test_support::Caller;
use vaneway_test_support::Deployment;
use vaneway_test_support::PlainService;
use vaneway_test_support::Proxy;
use vaneway_test_support::Replica;
use vaneway_test_support::caller::ReceivedResponse;
use vaneway_test_support::deployment::MODEL;
use vaneway_test_support::deployment::until;

use bolero::TypeGenerator;

use crate::property;
use crate::support::block_on;
use crate::support::deployment;
use crate::support::engine;
use crate::support::replicas;

const PAY: &str = "/services/reading-room/payments";

fn with_data(deployment: Deployment) -> Deployment {
    let folder = deployment.folder().join("data");
    deployment.set("/data_folder", folder.to_str().unwrap().into())
}

fn payment_deployment(service: &PlainService) -> Deployment {
    with_data(deployment().plain(&[Replica::new("p", service.address())]))
}

async fn pay(caller: &Caller, key: &str, body: &str) -> ReceivedResponse {
    caller.send_with(Method::POST, PAY, &[("idempotency-key", key)], body).await
}

#[test]
fn repeat_gets_the_first_answer_also_after_a_restart() {
    let p = PlainService::spawn();
    let deployment = payment_deployment(&p);
    let entry = deployment.start();
    let first = block_on(pay(&deployment.caller(&entry), "k1", "10"));
    let again = block_on(pay(&deployment.caller(&entry), "k1", "10"));
    entry.kill();
    let entry = deployment.start();
    let after_restart = block_on(pay(&deployment.caller(&entry), "k1", "10"));

    assert_eq!((first.status, first.run.as_deref()), (200, Some("ran")));
    assert_eq!(again, first);
    assert_eq!(after_restart, first);
    assert_eq!(p.executions("k1"), 1);
}

#[test]
fn key_of_another_request_is_refused_as_not_run() {
    let p = PlainService::spawn();
    let deployment = payment_deployment(&p);
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    block_on(async {
        pay(&caller, "k1", "10").await;
        let other = pay(&caller, "k1", "20").await;
        assert_eq!((other.status, other.code().as_str()), (422, "key_reused"));
        assert_eq!(other.run.as_deref(), Some("not_run"));
        // The same key of another organisation is another key.
        let archivists = Caller::new(entry.listen(), "token-of-archivists");
        assert_eq!(pay(&archivists, "k1", "20").await.status, 200);
    });
    assert_eq!(p.executions("k1"), 2);
}

#[test]
fn repeats_at_the_same_time_run_once_and_get_one_answer() {
    let p = PlainService::spawn();
    p.delay_responses(std::time::Duration::from_millis(50));
    let deployment = payment_deployment(&p);
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    let responses = block_on(async {
        futures_util::future::join_all((0..20).map(|_| pay(&caller, "k1", "10"))).await
    });

    assert!(responses.iter().all(|response| *response == responses[0]));
    assert_eq!((responses[0].status, p.executions("k1")), (200, 1));
}

#[test]
fn lost_answer_stays_unknown_for_every_repeat() {
    let p = PlainService::spawn();
    let proxy = Proxy::tcp(p.address());
    let deployment = with_data(deployment().plain(&[Replica::new("p", proxy.address())]));
    let entry = deployment.start();
    proxy.cut_response_after(0);
    let first = block_on(pay(&deployment.caller(&entry), "k1", "10"));
    let again = block_on(pay(&deployment.caller(&entry), "k1", "10"));
    entry.kill();
    let entry = deployment.start();
    let after_restart = block_on(pay(&deployment.caller(&entry), "k1", "10"));

    for response in [first, again, after_restart] {
        assert_eq!((response.status, response.code().as_str()), (502, "outcome_unknown"));
        assert_eq!(response.run.as_deref(), Some("unknown"));
    }
    assert_eq!(p.executions("k1"), 1);
}

#[test]
fn request_that_was_refused_as_not_run_may_be_sent_again() {
    let p = PlainService::spawn();
    let deployment = payment_deployment(&p);
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    block_on(async {
        p.refuse(true);
        assert_eq!(pay(&caller, "k1", "10").await.run.as_deref(), Some("not_run"));
        p.refuse(false);
        assert_eq!(pay(&caller, "k1", "10").await.status, 200);
    });
    assert_eq!(p.executions("k1"), 1);
}

#[test]
fn caller_that_goes_away_does_not_leave_the_outcome_unknown() {
    let p = PlainService::spawn();
    p.delay_responses(std::time::Duration::from_millis(200));
    let deployment = payment_deployment(&p);
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    block_on(async {
        {
            let pending = pay(&caller, "k1", "10");
            let arrived = until(|| p.executions("k1") == 1);
            futures_util::pin_mut!(pending, arrived);
            futures_util::future::select(pending, arrived).await;
        }
        assert_eq!(pay(&caller, "k1", "10").await.status, 200);
    });
    assert_eq!(p.executions("k1"), 1);
}

#[test]
fn billed_stream_is_stored_for_a_repeat() {
    let a = engine();
    let non_repeatable = json!([{ "method": "POST", "path": "/v1/chat/completions" }]);
    let deployment = with_data(
        deployment().engines(&replicas(&[&a])).set("/services/0/non_repeatable", non_repeatable),
    );
    let entry = deployment.start();
    let caller = deployment.caller(&entry);
    let body = vaneway_test_support::caller::chat(MODEL, "gloss: bogha", 20, true);
    let headers = [("idempotency-key", "gloss-1")];

    block_on(async {
        let gloss = || caller.send_with(Method::POST, "/v1/chat/completions", &headers, &body);
        let first = gloss().await;
        let again = gloss().await;
        assert!(first.complete && first.body.ends_with(b"data: [DONE]\n\n"));
        assert_eq!(first.body, again.body);
    });
    assert_eq!(a.stats().fresh, 1);
}

#[test]
fn snapshots_keep_every_key_and_start_a_new_log() {
    const KEYS: usize = 60;
    let p = PlainService::spawn();
    let deployment = payment_deployment(&p).set("/claims", json!({ "snapshot_bytes": 2_000 }));
    let entry = deployment.start();
    let first = block_on(async {
        let caller = deployment.caller(&entry);
        let mut responses = Vec::new();
        for i in 0..KEYS {
            responses.push(pay(&caller, &format!("k{i}"), "10").await);
        }
        responses
    });
    entry.wait_for_log(&["event=snapshot", "generation=3"]);
    entry.kill();

    let entry = deployment.start();
    let again = block_on(async {
        let caller = deployment.caller(&entry);
        let repeats = (0..KEYS).map(|i| {
            let caller = caller.clone();
            async move { pay(&caller, &format!("k{i}"), "10").await }
        });
        futures_util::future::join_all(repeats).await
    });

    assert_eq!(again, first);
    assert_eq!(p.total() as usize, KEYS);
    let files = std::fs::read_dir(deployment.folder().join("data")).unwrap();
    let mut names: Vec<_> =
        files.map(|file| file.unwrap().file_name().into_string().unwrap()).collect();
    names.sort();
    let [log, lock, snapshot] = names.as_slice() else { panic!("unexpected files: {names:?}") };
    assert!(log.starts_with("claims.") && log != "claims.0.log");
    assert_eq!((lock.as_str(), snapshot.as_str()), ("claims.lock", "claims.snapshot"));
}

#[test]
fn kills_never_run_a_key_twice() {
    kill_under_load(16 << 20);
}

#[test]
fn kills_around_snapshots_never_run_a_key_twice() {
    kill_under_load(500);
}

/// Sends requests with many keys while the entry box is killed repeatedly; each round repeats every
/// request of the rounds before and adds new ones.
fn kill_under_load(snapshot_bytes: u64) {
    const KEYS_A_ROUND: usize = 10;
    const KILLS: usize = 6;
    let p = PlainService::spawn();
    let deployment =
        payment_deployment(&p).set("/claims", json!({ "snapshot_bytes": snapshot_bytes }));
    let mut entry = deployment.start();
    let mut answered = 0;
    for round in 0..=KILLS {
        let caller = deployment.caller(&entry);
        let keys = (round + 1) * KEYS_A_ROUND;
        answered = block_on(async {
            let requests = (0..keys).map(|i| try_to_pay(&caller, format!("k{i}")));
            let requests = futures_util::future::join_all(requests);
            if round == KILLS {
                return requests.await.into_iter().flatten().count();
            }
            // Kill the entry box after some of this round's requests have reached the service.
            let enough = p.total() + 3;
            let reached = until(|| p.total() >= enough);
            futures_util::pin_mut!(requests, reached);
            futures_util::future::select(requests, reached).await;
            0
        });
        if round < KILLS {
            entry.kill();
            entry = deployment.start();
        }
    }
    let keys = (KILLS + 1) * KEYS_A_ROUND;
    let executions: Vec<_> = (0..keys).map(|i| p.executions(&format!("k{i}"))).collect();
    assert!(executions.iter().all(|count| *count <= 1), "{executions:?}");
    let ran = executions.iter().filter(|count| **count == 1).count();
    assert!(answered <= ran, "{answered} answered, {ran} ran");
    assert!(answered >= KEYS_A_ROUND, "the last round's new keys are answered");
}

/// Returns the response; `None` if the outcome is unknown.
async fn try_to_pay(caller: &Caller, key: String) -> Option<ReceivedResponse> {
    let response =
        caller.try_send_with(Method::POST, PAY, &[("idempotency-key", &key)], "10").await?;
    (response.status == 200).then_some(response)
}

fn log_file(deployment: &Deployment) -> std::path::PathBuf {
    deployment.folder().join("data/claims.0.log")
}

/// Runs the entry box until it exits; returns its exit code and log.
fn run_to_exit(deployment: &Deployment) -> (Option<i32>, String) {
    let file = deployment.folder().join("entry-1.json");
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_vaneway"))
        .arg("run")
        .arg(&file)
        .output()
        .unwrap();
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn torn_tail_is_truncated_and_logged() {
    let p = PlainService::spawn();
    let deployment = payment_deployment(&p);
    let entry = deployment.start();
    block_on(pay(&deployment.caller(&entry), "k1", "10"));
    entry.kill();
    let mut bytes = std::fs::read(log_file(&deployment)).unwrap();
    let valid_bytes = bytes.len();
    bytes.extend_from_slice(&bytes.clone()[..vaneway_log::HEADER_BYTES - 1]);
    std::fs::write(log_file(&deployment), &bytes).unwrap();

    let entry = deployment.start();

    let offset = format!("offset={valid_bytes}");
    entry.wait_for_log(&["event=log_tail_cut", &offset, "bytes=11"]);
    block_on(pay(&deployment.caller(&entry), "k1", "10"));
    assert_eq!(p.executions("k1"), 1);
}

#[test]
fn corruption_in_the_middle_stops_the_process_with_file_and_offset() {
    let p = PlainService::spawn();
    let deployment = payment_deployment(&p);
    let entry = deployment.start();
    block_on(async {
        for key in ["k1", "k2", "k3"] {
            pay(&deployment.caller(&entry), key, "10").await;
        }
    });
    entry.kill();
    let mut bytes = std::fs::read(log_file(&deployment)).unwrap();
    bytes[vaneway_log::HEADER_BYTES] ^= 1;
    std::fs::write(log_file(&deployment), &bytes).unwrap();

    let (code, log) = run_to_exit(&deployment);

    assert_eq!(code, Some(1));
    let expected_error = format!("failed to read `{}`", log_file(&deployment).display());
    assert!(log.contains(&expected_error) && log.contains("offset 0 is damaged"), "{log}");
}

#[test]
fn second_process_on_one_folder_is_refused() {
    let p = PlainService::spawn();
    let deployment = payment_deployment(&p);
    let _entry = deployment.start();

    let (code, log) = run_to_exit(&deployment);

    assert_eq!(code, Some(1));
    assert!(log.contains("another process uses this folder"), "{log}");
}

#[test]
fn without_a_data_folder_keyed_requests_are_refused_as_not_run() {
    let p = PlainService::spawn();
    let deployment = deployment().plain(&[Replica::new("p", p.address())]);
    let entry = deployment.start();

    let response = block_on(pay(&deployment.caller(&entry), "k1", "10"));

    assert_eq!(
        (response.code().as_str(), response.run.as_deref()),
        ("claims_unavailable", Some("not_run"))
    );
    assert_eq!(p.total(), 0);
}

#[derive(Debug, Clone, TypeGenerator)]
enum Change {
    Claim { key: u8, request: u8, holder: u8 },
    Answer(u8),
    Unknown(u8),
    Release { key: u8, holder: u8 },
    OnlyHolder(u8),
}

impl Change {
    fn command(&self) -> Command {
        let key = |key: &u8| ClaimKey { organisation: "o".to_owned(), key: (key % 4).to_string() };
        match self {
            Self::Claim { key: k, request, holder } => Command::Claim(Claim {
                key: key(k),
                digest: [request % 2; 32],
                holder: u64::from(holder % 3),
                at_ms: 0,
            }),
            Self::Answer(k) => Command::Answer {
                key: key(k),
                answer: StoredResponse { status: 200, content_type: None, body: None },
            },
            Self::Unknown(k) => Command::Unknown { key: key(k) },
            Self::Release { key: k, holder } => {
                Command::Release { key: key(k), holder: u64::from(holder % 3) }
            }
            Self::OnlyHolder(holder) => Command::OnlyHolder { holder: u64::from(holder % 3) },
        }
    }
}

#[test]
fn ledger_grants_a_key_again_only_after_a_release_by_its_holder() {
    property::check("claims", 5_000, |changes: Vec<Change>| {
        let mut ledger = Ledger::new();
        let mut holders = std::collections::BTreeMap::new();
        for change in &changes {
            let command = change.command();
            // Applies the command as it is decoded from the log.
            let command = Command::decode(&command.encode()).unwrap();
            if let Command::Release { key, holder } = &command
                && holders.get(key) == Some(holder)
            {
                holders.remove(key);
            }
            let claim = match &command {
                Command::Claim(claim) => Some((claim.key.clone(), claim.holder)),
                _ => None,
            };
            if ledger.apply(command) == Reply::Granted {
                let (key, holder) = claim.unwrap();
                assert_eq!(holders.insert(key, holder), None, "granted twice");
            }
            assert_eq!(Ledger::decode(&ledger.encode()).unwrap(), ledger);
        }
    });
}

#[test]
fn decoders_reject_what_they_did_not_write() {
    property::check("bytes as commands", 2_000, |bytes: Vec<u8>| {
        // Decoding may fail but must not panic; a decoded value must survive another encoding and
        // decoding.
        if let Ok(command) = Command::decode(&bytes) {
            assert_eq!(Command::decode(&command.encode()).unwrap(), command);
        }
        if let Ok(ledger) = Ledger::decode(&bytes) {
            assert_eq!(Ledger::decode(&ledger.encode()).unwrap(), ledger);
        }
    });
}

#[test]
fn log_recovers_complete_records_and_never_takes_corruption_for_a_torn_end() {
    property::check("log", 5_000, |(records, cut, flip): (Vec<Vec<u8>>, u16, Option<u16>)| {
        let records: Vec<_> = records.into_iter().filter(|record| !record.is_empty()).collect();
        let mut file = Vec::new();
        let mut ends = vec![0];
        for record in &records {
            vaneway_log::append(&mut file, record);
            ends.push(file.len());
        }
        let cut = usize::from(cut) % (file.len() + 1);
        file.truncate(file.len() - cut);
        let complete_records = ends.iter().filter(|end| **end <= file.len()).count() - 1;
        let Some(flip) = flip.filter(|_| !file.is_empty()) else {
            let recovered = vaneway_log::recover(&file).unwrap();
            assert_eq!(recovered.records, records[..complete_records]);
            assert_eq!(recovered.valid_bytes, ends[complete_records]);
            return;
        };
        let flip = usize::from(flip) % file.len();
        file[flip] ^= 0x40;
        let last = flip >= ends[complete_records.saturating_sub(1)];
        match vaneway_log::recover(&file) {
            Ok(recovered) => {
                assert!(last, "corruption before the last record was not detected");
                assert!(recovered.records.len() >= complete_records.saturating_sub(1));
                assert_eq!(recovered.records, records[..recovered.records.len()]);
            }
            Err(corrupt) => assert!(ends.contains(&corrupt.offset)),
        }
    });
}

#[test]
fn retention_is_checked() {
    let text = deployment().set("/claims", json!({ "retention_ms": 1 })).settings().to_string();
    let error = settings::read(&text).unwrap_err().to_string();
    assert!(error.contains("$.claims.retention_ms: expected a whole number from 1000"), "{error}");
}
