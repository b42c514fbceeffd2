//! Tests of quotas.

use super::*;

#[test]
fn limit_and_guarantee_bound_cpus_and_gpus_unless_the_bound_is_zero() {
    let quota = |used: f64| Quota {
        guarantee: Resources::new(0.0, 4.0, 0.0),
        limit: Resources::new(0.0, 8.0, 0.0),
        used: Resources::new(0.0, used, 0.0),
    };
    let gpu = Resources::new(0.0, 2.0, 16.0);
    let cpu = Resources::new(1.0, 0.0, 1.0);
    let cases = [
        (quota(0.0), gpu, true, true),
        (quota(3.0), gpu, true, false),
        (quota(6.0), gpu, true, false),
        (quota(7.0), gpu, false, false),
        (quota(0.0), cpu, true, true),
        (quota(9.0), cpu, false, false),
        (Quota::default(), gpu, true, false),
    ];
    for (i, (quota, task, allowed, guaranteed)) in cases.into_iter().enumerate() {
        assert_eq!(quota.allows(&task), allowed, "case {i}");
        assert_eq!(quota.is_within_guarantee(&task), guaranteed, "case {i}");
    }
    assert!(quota(0.0).could_ever_allow(&gpu, 4));
    assert!(!quota(0.0).could_ever_allow(&gpu, 5));
}
