//! Tests of `relay`.

use super::*;

/// However many machines are unheard, each message has room for its part, and an empty
/// list is a message, too: it takes back the last one.
#[test]
fn a_list_is_spread_over_messages_that_have_room() {
    let names = |n: usize| (0..n).map(|i| MachineId::new(&format!("host-{i:06}")));
    // Each takes 15 bytes.
    for (machines, room, messages) in [(0, 100, 1), (6, 90, 1), (7, 90, 2), (4_000, 1_500, 40)] {
        let spread = split_into_messages(names(machines).collect(), room);
        assert_eq!(spread.len(), messages, "{machines} in {room} bytes");
        let all: usize = spread.iter().map(Vec::len).sum();
        assert_eq!(all, machines);
    }
}
