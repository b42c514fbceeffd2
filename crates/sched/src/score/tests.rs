//! Tests of the score.

use super::*;

fn candidate(cpus: f64, cost: f64, latency: f64) -> Candidate {
    Candidate {
        free: Resources::new(cpus, 0.0, cpus),
        cost,
        latency,
    }
}

#[test]
fn candidate_with_the_highest_score_is_chosen() {
    let task = Resources::new(4.0, 0.0, 4.0);
    let weights = Weights::default();
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
            "equal fit: the cheapest",
            vec![candidate(8.0, 3.0, 0.0), candidate(8.0, 1.0, 0.0)],
            Some(1),
        ),
        (
            "equal cost: the one with the image in its cache",
            vec![candidate(8.0, 1.0, 7.0), candidate(8.0, 1.0, 0.0)],
            Some(1),
        ),
        (
            "fit is not normalized: 1 against 1/2 outweighs a third of the cost",
            vec![candidate(8.0, 2.0, 0.0), candidate(4.0, 3.0, 0.0)],
            Some(1),
        ),
    ];
    for (name, candidates, expected) in cases {
        assert_eq!(
            choose(&task, candidates.iter().copied().enumerate(), &weights),
            expected,
            "{name}"
        );
    }
}

#[test]
fn fit_is_the_mean_over_resources_with_a_free_amount() {
    let cases = [
        ((4.0, 0.0, 4.0), (8.0, 0.0, 16.0), 0.375),
        ((4.0, 1.0, 4.0), (8.0, 2.0, 8.0), 0.5),
        ((4.0, 0.0, 4.0), (8.0, 8.0, 8.0), 1.0 / 3.0),
        ((0.0, 0.0, 0.0), (0.0, 0.0, 0.0), 0.0),
    ];
    let resources = |(cpus, gpus, memory_gb)| Resources::new(cpus, gpus, memory_gb);
    for (task, free, expected) in cases {
        let found = fit(&resources(task), &resources(free));
        assert!((found - expected).abs() < 1e-9, "{task:?}: {found}");
    }
}
