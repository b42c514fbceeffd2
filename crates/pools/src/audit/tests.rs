use super::*;
use crate::account::{Ended, PoolState};
use crate::declaration::PoolName;

fn interval(from_ms: u64, to_ms: u64, ended: Option<Ended>) -> Interval {
    Interval {
        pool: PoolName::parse("help").expect("a name"),
        machine: MachineId::new("m"),
        machine_type: "big".to_owned(),
        spot: false,
        state: PoolState::Warm,
        from_ms,
        to_ms,
        ended,
    }
}

/// A right account, and every way in which one may be made wrong on purpose.
#[test]
fn wrong_accounts_are_found() {
    let id = MachineId::new("m");
    let lives = BTreeMap::from([(id.clone(), (100, 900))]);
    let left = Some(Ended::Surplus);
    let (twice, gap, outside) = (
        Mistake::ChargedTwice(id.clone()),
        Mistake::NotCharged(id.clone()),
        Mistake::OutsideLife(id),
    );
    let cases: [(Vec<Interval>, u64, Vec<Mistake>); 12] = [
        (
            vec![
                interval(100, 200, None),
                interval(200, 300, left),
                interval(400, 900, left),
            ],
            0,
            vec![],
        ),
        (
            vec![interval(100, 200, None), interval(199, 300, left)],
            0,
            vec![twice.clone()],
        ),
        (
            vec![interval(100, 200, None), interval(201, 300, left)],
            0,
            vec![gap.clone()],
        ),
        (vec![interval(100, 900, None)], 0, vec![]),
        (vec![interval(100, 899, None)], 1, vec![]),
        (vec![interval(100, 899, None)], 0, vec![gap]),
        (vec![interval(99, 200, left)], 0, vec![outside.clone()]),
        (vec![interval(99, 200, left)], 1, vec![]),
        (vec![interval(800, 901, left)], 0, vec![outside.clone()]),
        (vec![interval(800, 901, left)], 1, vec![]),
        (vec![interval(800, 902, left)], 1, vec![outside.clone()]),
        (
            vec![interval(100, 300, left), interval(100, 300, left)],
            0,
            vec![twice],
        ),
    ];
    for (n, (intervals, clock_off_ms, expected)) in cases.into_iter().enumerate() {
        assert_eq!(
            mistakes(&intervals, &lives, clock_off_ms),
            expected,
            "case {n}"
        );
    }
    let never_rented = mistakes(&[interval(100, 200, left)], &BTreeMap::new(), 0);
    assert_eq!(never_rented, vec![outside]);
}
