use super::Regression;

#[test]
fn fit_finds_the_slope_and_the_exponent() {
    let sizes = [500.0, 1_000.0, 2_000.0, 4_000.0];
    let points = |value_at: fn(f64) -> f64| sizes.map(|x| (x, value_at(x)));
    // Points, expected slope, expected exponent.
    let cases = [
        (points(|x| 2.0 * x), 2.0, 1.0),
        (points(|_| 7.0), 0.0, 0.0),
        (points(|x| x * x / 1_000.0), 4.6304, 2.0),
    ];
    for (points, slope, exponent) in cases {
        let found = Regression::fit(&points).expect("four sizes");
        assert!((found.slope - slope).abs() < 0.001, "{found:?}");
        let power = found.exponent.expect("all above 0");
        assert!((power - exponent).abs() < 0.001, "{found:?}");
    }
}

#[test]
fn fit_needs_two_different_sizes_and_an_exponent_needs_positive_values() {
    assert_eq!(Regression::fit(&[]), None);
    assert_eq!(
        Regression::fit(&[(5.0, 1.0), (5.0, 2.0)]),
        None,
        "one size only"
    );
    let with_zero = Regression::fit(&[(1.0, 0.0), (2.0, 1.0)]).expect("two sizes");
    assert_eq!(with_zero.exponent, None, "0 has no logarithm");
    assert!(with_zero.residual < 1e-9, "a line through two points");
}
