//! Encoding of golden cases, and comparison with the fixtures.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Name of a case, and its encoding or the text of its error.
pub(crate) type Case = (&'static str, String);

/// Compares all cases with all lines of a fixture file, in order. The failure message lists
/// the lines that are missing (`-`) and the lines that are new (`+`).
pub(crate) fn compare(fixture: &str, cases: &[Case]) {
    let to_line = |(name, bytes): &Case| format!("{name}\t{bytes}\n");
    let text: String = cases.iter().map(to_line).collect();
    let only_in = |one: &str, other: &str, sign: &str| -> String {
        let lines = one.lines().filter(|l| !other.lines().any(|o| o == *l));
        lines.map(|l| format!("{sign}{l}\n")).collect()
    };
    let missing = only_in(fixture, &text, "-");
    let added = only_in(&text, fixture, "+");
    assert!(
        text == fixture,
        "the encodings differ from the fixture:\n{missing}{added}"
    );
}

/// Encodes a value, and asserts that decoding and encoding it again gives the same bytes.
pub(crate) fn round_trip<T: Serialize + DeserializeOwned>(name: &'static str, value: &T) -> Case {
    let bytes = serde_json::to_string(value).expect("JSON");
    let decoded: T = serde_json::from_str(&bytes).expect(name);
    assert_eq!(
        serde_json::to_string(&decoded).expect("JSON"),
        bytes,
        "{name}"
    );
    (name, bytes)
}

/// Decodes JSON and encodes the value again, for input that leaves out optional fields.
pub(crate) fn reencode<T: Serialize + DeserializeOwned>(name: &'static str, bytes: &str) -> Case {
    let value: T = serde_json::from_str(bytes).expect(name);
    (name, serde_json::to_string(&value).expect("JSON"))
}

/// Owned copies of names.
pub(crate) fn texts(names: &[&str]) -> Vec<String> {
    names.iter().map(|&name| name.to_owned()).collect()
}
