//! One entry, two stand-in engines and a plain service in one process.
//!
//! Streams an answer, reclaims its endpoint in the middle, shows that the answer is whole, then
//! keeps serving for `curl`. With `--once` it ends instead.
//!
//!     cargo run --release --example quickstart [-- --once]

use std::io::Write as _;
use std::time::Duration;

use eyre::ensure;
use vaneway_server::core::running;
use vaneway_server::core::settings;
use vaneway_test_support::Caller;
use vaneway_test_support::CloudPlatform;
use vaneway_test_support::Deployment;
use vaneway_test_support::Engine;
use vaneway_test_support::EngineOptions;
use vaneway_test_support::PlainService;
use vaneway_test_support::Replica;
use vaneway_test_support::deployment::MODEL;
use vaneway_test_support::deployment::TOKEN;

/// Tokens of the answer: a little over a second of it.
const TOKENS: u32 = 60;

/// Tokens that are read before the endpoint is reclaimed.
const BEFORE_RECLAIM: usize = 20;

/// The notice given with the reclaim.
const NOTICE: Duration = Duration::from_millis(300);

const PROMPT: &str = "What is a bogha báistí?";

fn main() -> eyre::Result<()> {
    let once = std::env::args().any(|arg| arg == "--once");
    compio::runtime::Runtime::new()?.block_on(run(once))
}

async fn run(once: bool) -> eyre::Result<()> {
    let options = EngineOptions { step: Duration::from_millis(20), ..EngineOptions::default() };
    let engines = [Engine::spawn(options.clone()), Engine::spawn(options)];
    let service = PlainService::spawn();
    let platform = CloudPlatform::spawn(Duration::from_millis(500));
    for name in ["a", "b", "p"] {
        platform.start_box(&format!("box-{name}"));
    }
    let [a, b] = [&engines[0], &engines[1]];
    let deployment = Deployment::new("")
        .engines(&[Replica::new("a", a.address()), Replica::new("b", b.address())])
        .plain(&[Replica::new("p", service.address())])
        .platform(platform.address());
    let entry = running::spawn(settings::read(&deployment.settings().to_string())?).await?;
    println!("entry on http://{}, operators on {}", entry.listen(), entry.operators());

    let caller = Caller::new(entry.listen(), TOKEN);
    let undisturbed = caller.stream(MODEL, PROMPT, TOKENS).await.finish().await.streamed_text();
    let mut stream = caller.stream(MODEL, PROMPT, TOKENS).await;
    stream.events(BEFORE_RECLAIM).await;
    let (name, target) = if a.stats().open > 0 { ("a", b) } else { ("b", a) };
    println!("{BEFORE_RECLAIM} tokens have arrived from engine {name}; its box is reclaimed now");
    platform.reclaim(&format!("box-{name}"), NOTICE);
    let answer = stream.finish().await;

    ensure!(answer.complete, "the answer was cut off");
    let text = answer.streamed_text();
    ensure!(text == undisturbed, "the answer differs from an undisturbed one");
    println!("\n{text}\n");
    let moved = target.stats();
    println!(
        "whole: the same {TOKENS} tokens as undisturbed; the other engine imported {} state and \
         resumed {} stream, 0 tokens were computed again",
        moved.imported, moved.resumed
    );
    ensure!(moved.continued == 0, "the state was computed again");
    if once {
        entry.stop().await;
        return Ok(());
    }
    println!(
        "\ntry: curl -N http://{}/v1/chat/completions -H 'Authorization: Bearer {TOKEN}' \\\n  \
         -d '{{\"model\":\"{MODEL}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\
         \"content\":\"hello\"}}]}}'\n(Ctrl-C ends)",
        entry.listen()
    );
    std::io::stdout().flush()?;
    std::future::pending::<()>().await;
    Ok(())
}
