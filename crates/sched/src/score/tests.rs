//! Tests of `score`.

use super::*;

fn candidate(cpus: f64, cost: f64, latency: f64) -> Candidate {
    Candidate {
        free: Resources::new(cpus, 0.0, cpus),
        cost,
        latency,
    }
}

#[test]
fn the_highest_score_wins() {
    let task = Resources::new(4.0, 0.0, 4.0);
    let w = Weights::default();
    let cases: [(&str, Vec<Candidate>, Option<usize>); 6] = [
        ("no candidates", vec![], None),
        (
            "zero maxima: fit decides",
            vec![candidate(8.0, 0.0, 0.0), candidate(4.0, 0.0, 0.0)],
            Some(1),
        ),
        (
            "a tie goes to the first",
            vec![candidate(8.0, 1.0, 1.0), candidate(8.0, 1.0, 1.0)],
            Some(0),
        ),
        (
            "cheaper wins at equal fit",
            vec![candidate(8.0, 3.0, 0.0), candidate(8.0, 1.0, 0.0)],
            Some(1),
        ),
        (
            "a cached image wins at equal cost",
            vec![candidate(8.0, 1.0, 7.0), candidate(8.0, 1.0, 0.0)],
            Some(1),
        ),
        (
            "fit enters raw: 1 against 1/2 outweighs a third of the cost",
            vec![candidate(8.0, 2.0, 0.0), candidate(4.0, 3.0, 0.0)],
            Some(1),
        ),
    ];
    for (name, candidates, expected) in cases {
        assert_eq!(
            choose(&task, candidates.iter().copied().enumerate(), &w),
            expected,
            "{name}"
        );
    }
}

#[test]
fn fit_leaves_out_what_is_not_there() {
    let cases = [
        ((4.0, 0.0, 4.0), (8.0, 0.0, 16.0), 0.375),
        ((4.0, 1.0, 4.0), (8.0, 2.0, 8.0), 0.5),
        ((4.0, 0.0, 4.0), (8.0, 8.0, 8.0), 1.0 / 3.0),
        ((0.0, 0.0, 0.0), (0.0, 0.0, 0.0), 0.0),
    ];
    for ((a, b, c), (x, y, z), expected) in cases {
        let got = fit(&Resources::new(a, b, c), &Resources::new(x, y, z));
        assert!((got - expected).abs() < 1e-9, "{a} {b} {c}: {got}");
    }
}
