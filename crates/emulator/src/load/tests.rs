use super::draw_job_plans;
use crate::site::Site;
use std::collections::BTreeSet;

/// Guards against jobs that differ between runs of one seed, share ids, arrive at another rate
/// than their class's, or have a number of tasks that the class does not list.
#[test]
fn drawn_jobs_repeat_and_match_the_rates_of_the_site() {
    let text = include_str!("../../../../examples/emulation.toml");
    let site = Site::parse(text).expect("a valid site");
    let drawn = draw_job_plans(&site);
    let again = draw_job_plans(&site);
    let shape =
        |p: &forkshift_testkit::JobPlan| (p.submit_at, p.spec.clone(), p.run_ms, p.cancel_at);
    assert!(
        drawn.iter().map(shape).eq(again.iter().map(shape)),
        "repeats"
    );
    let ids: BTreeSet<_> = drawn.iter().map(|p| p.spec.id.as_str()).collect();
    assert_eq!(ids.len(), drawn.len(), "ids are used once");
    for (i, class) in site.classes.iter().enumerate() {
        let of_class: Vec<_> = drawn
            .iter()
            .filter(|p| p.spec.class == class.name)
            .collect();
        let expected = f64::from(class.initial) + class.per_s * (site.duration_s - 3.0);
        let found = of_class.len() as f64;
        let spread = 4.0 * expected.sqrt() + 1.0;
        assert!((found - expected).abs() < spread, "classes[{i}]: {found}");
        for plan in of_class {
            assert!(class.tasks.contains(&plan.spec.tasks));
            assert!(plan.submit_at < (site.duration_s * 1000.0) as u64);
        }
    }
}
