//! Golden bytes of all that a controller stores and sends: they must never change.
//!
//! Each fixture file has a line `name<TAB>bytes` for each case, in the order of the
//! cases here. Messages and the types of requests have theirs in `forkshift-wire`.

mod calls;
mod keys;
mod records;

/// A name and the bytes that belong to it.
type Case = (String, String);

/// Compares all cases with all lines of a fixture file, in order.
fn compare(fixture: &str, cases: &[Case]) {
    let line = |(name, bytes): &Case| format!("{name}\t{bytes}\n");
    let text: String = cases.iter().map(line).collect();
    let only_in = |one: &str, other: &str, sign: &str| -> String {
        let lines = one.lines().filter(|l| !other.lines().any(|o| o == *l));
        lines.map(|l| format!("{sign}{l}\n")).collect()
    };
    let lost = only_in(fixture, &text, "-");
    let new = only_in(&text, fixture, "+");
    assert!(text == fixture, "other bytes than before:\n{lost}{new}");
}
