//! Tests of relaying.

use super::*;

/// A list of any length must be split into messages within the size limit. An empty list must
/// be sent as a message too, as it revokes the previous list.
#[test]
fn machine_list_is_split_into_messages_within_the_size_limit() {
    let names = |count: usize| (0..count).map(|i| MachineId::new(&format!("host-{i:06}")));
    // Each name takes 15 bytes when encoded.
    for (machines, max_bytes, messages) in [(0, 100, 1), (6, 90, 1), (7, 90, 2), (4_000, 1_500, 40)]
    {
        let lists = split_into_messages(names(machines).collect(), max_bytes);
        assert_eq!(lists.len(), messages, "{machines} in {max_bytes} bytes");
        let total: usize = lists.iter().map(Vec::len).sum();
        assert_eq!(total, machines);
    }
}
