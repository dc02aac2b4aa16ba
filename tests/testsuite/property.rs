//! Property tests over values from `bolero`'s generators, which are fed from a fixed seed so that
//! every run checks the same cases.

use std::fmt::Debug;

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::ByteSliceDriver;
use bolero::generator::bolero_generator::driver::Options;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;

/// Seed of the generated cases; printed with each property.
const SEED: u64 = 20_261_202;

/// Random bytes from which one case is generated.
const CASE_BYTES: usize = 1_024;

/// Checks `property` for up to `cases` generated values.
///
/// Fails if half or more of the cases could not be generated from their bytes.
pub fn check<T: TypeGenerator + Debug>(name: &str, cases: u32, property: impl Fn(T)) {
    println!("property {name}: seed {SEED}, {cases} cases");
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let options = Options::default();
    let mut bytes = vec![0; CASE_BYTES];
    let mut generated = 0;
    for _ in 0..cases {
        rng.fill_bytes(&mut bytes);
        if let Some(value) = T::generate(&mut ByteSliceDriver::new(&bytes, &options)) {
            generated += 1;
            property(value);
        }
    }
    assert!(generated > cases / 2, "only {generated} of {cases} cases could be generated");
}
