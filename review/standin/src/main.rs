//! Plays the scripted cases of the review. Run from the repository's root:
//! `review-standin CASE RECORD`. Exits with 1 if a rule was broken, with 0 if all held, and with 2
//! if the case couldn't be played. With `TROUBLE=0` in the environment the disruption is left out.

mod deployment;
mod hot;
mod http;
mod leaving;
mod platform;
mod proxy;
mod random;
mod record;
mod replica;
mod surplus;
mod template;
mod unframed;

use std::path::Path;
use std::process::ExitCode;

/// A rule was broken.
const BROKEN: u8 = 1;

/// The case couldn't be played.
const NOT_PLAYED: u8 = 2;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, record] = words.as_slice() else {
        eprintln!("usage: review-standin CASE RECORD");
        return ExitCode::from(NOT_PLAYED);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let played = match case.as_str() {
        // The last word is the replica's id.
        "replica" => hot::serve(record),
        "unframed-replica" => unframed::serve(record),
        "unframed" => unframed::play(Path::new(record), trouble),
        "leaving" => leaving::play(Path::new(record), trouble),
        "hot" => hot::play(Path::new(record), trouble),
        "surplus" => surplus::play(Path::new(record), trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(BROKEN),
        Err(error) => {
            eprintln!("not played: {error}");
            ExitCode::from(NOT_PLAYED)
        }
    }
}
