use super::{growth_of_metrics, Dimension};
use crate::report::{ProcessLoad, Report};

fn report(workers: u64, cores: f64) -> Report {
    let mut report = Report {
        workers,
        starts_per_s: 10.0,
        ..Report::default()
    };
    let load = |fraction: f64| ProcessLoad {
        cpu_cores: cores * fraction,
        ..ProcessLoad::default()
    };
    report.set_controller_loads(vec![load(0.75), load(0.25)]);
    report
}

#[test]
fn metrics_are_fitted_over_the_measured_sizes() {
    let reports = [report(100, 0.1), report(200, 0.4), report(400, 1.6)];
    let all = growth_of_metrics(Dimension::Workers, &reports);
    let of = |name: &str| {
        let found = all
            .iter()
            .find(|growth| growth.metric == name)
            .expect("a figure");
        (found.points.clone(), found.regression.expect("three sizes"))
    };
    let (points, regression) = of("controllers_cores");
    assert_eq!(
        points.iter().map(|p| p.0).collect::<Vec<_>>(),
        [100.0, 200.0, 400.0]
    );
    assert!((regression.exponent.expect("above 0") - 2.0).abs() < 1e-6);
    let (points, _) = of("busiest_controller_cores");
    assert!((points[1].1 - 0.3).abs() < 1e-9, "the busiest alone");
}

/// The regressions of a sweep have the form in `golden/fits.txt`.
#[test]
fn golden_fits_keep_their_form() {
    let reports = [report(100, 0.25), report(200, 0.5)];
    let mut all = growth_of_metrics(Dimension::Workers, &reports);
    // The last bits of logarithms differ between machines.
    let regressions = all
        .iter_mut()
        .filter_map(|growth| growth.regression.as_mut());
    regressions.for_each(|regression| regression.exponent = regression.exponent.map(f64::round));
    let mut seen = serde_json::to_string_pretty(&all[..3]).expect("JSON") + "\n";
    for growth in &all {
        seen += &format!("{} over {}\n", growth.metric, growth.dimension);
    }
    assert!(seen == include_str!("golden/fits.txt"), "{seen}");
}
