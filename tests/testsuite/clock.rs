//! The steady clock on which leases, deadlines and ages are based.

use std::cell::Cell;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use vaneway_server::util::clock::SteadyClock;

use crate::style;

/// Guards against a leader that relies on an expired lease after its box was suspended, and against
/// old data that is taken for recent for the same reason.
#[test]
fn time_in_which_the_box_is_suspended_counts() {
    let since_boot = Rc::new(Cell::new(Duration::from_secs(100)));
    let read = Rc::clone(&since_boot);
    let clock = SteadyClock::new(move || read.get());
    let lease_until = clock.now() + Duration::from_millis(500);

    // The standard library's clock does not advance while the box is suspended.
    since_boot.set(since_boot.get() + Duration::from_secs(3));
    assert!(clock.now() > lease_until);
}

/// Guards against code that reads a clock which does not advance while the box is suspended.
#[test]
fn nothing_in_the_product_reads_another_steady_clock() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files: Vec<PathBuf> = Vec::new();
    for folder in ["src", "platform/src", "crates/vaneway-server/src"] {
        style::sources(&root.join(folder), &mut files);
    }
    assert!(files.len() > 50, "{files:?}");
    let reads_another = |path: &&PathBuf| {
        let text = std::fs::read_to_string(path).expect("a readable source");
        let is_the_clock = path.ends_with("util/clock.rs");
        !is_the_clock && (text.contains("Instant::now") || text.contains(".elapsed()"))
    };
    let found: Vec<_> = files.iter().filter(reads_another).collect();
    assert!(found.is_empty(), "use util::clock in {found:?}");
}
