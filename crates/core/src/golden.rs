//! Golden tests of the bytes that a controller stores and sends. The bytes must never change,
//! because other releases read them.
//!
//! Each fixture file has a line `name<TAB>bytes` for each case, in the order of the cases in the
//! test. The golden tests of peer messages and of the request types are in `forkshift-wire`.

mod calls;
mod keys;
mod records;

/// Name of a case, and its bytes as text.
type Case = (String, String);

/// Asserts that the cases equal the lines of a fixture file, in order.
fn compare(fixture: &str, cases: &[Case]) {
    let line = |(name, bytes): &Case| format!("{name}\t{bytes}\n");
    let text: String = cases.iter().map(line).collect();
    let only_in = |one: &str, other: &str, sign: &str| -> String {
        let lines = one.lines().filter(|l| !other.lines().any(|o| o == *l));
        lines.map(|l| format!("{sign}{l}\n")).collect()
    };
    let missing = only_in(fixture, &text, "-");
    let new = only_in(&text, fixture, "+");
    assert!(text == fixture, "other bytes than before:\n{missing}{new}");
}
