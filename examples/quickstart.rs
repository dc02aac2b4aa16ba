//! One entry box, two stand-in engines and a plain service in one process.
//!
//! Streams a response, reclaims the box of its endpoint midway, checks that the response is
//! complete, then keeps serving for `curl`. With `--once` it exits instead.
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

/// Tokens of the response, which take a little over a second.
const TOKENS: u32 = 60;

/// Tokens that are read before the endpoint's box is reclaimed.
const BEFORE_RECLAIM: usize = 20;

/// Time between the reclaim notice and the reclaim.
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
    let response = stream.finish().await;

    ensure!(response.complete, "the response is truncated");
    let text = response.streamed_text();
    ensure!(text == undisturbed, "the response differs from one without a reclaim");
    println!("\n{text}\n");
    let target_stats = target.stats();
    println!(
        "complete: the same {TOKENS} tokens as without a reclaim; the other engine imported {} \
         state and resumed {} stream, 0 tokens were computed again",
        target_stats.imported, target_stats.resumed
    );
    ensure!(target_stats.continued == 0, "the other engine computed the state again");
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
