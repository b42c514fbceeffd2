use super::{Overrides, Site};

const EXAMPLE: &str = include_str!("../../../../examples/emulation.toml");

fn changed(from: &str, to: &str) -> Result<Site, String> {
    assert!(EXAMPLE.contains(from), "{from}");
    Site::parse(&EXAMPLE.replacen(from, to, 1)).map_err(|e| e.to_string())
}

#[test]
fn the_examples_are_good() {
    let capacity = include_str!("../../../../examples/capacity.toml");
    let pools = include_str!("../../../../examples/warm-pools.toml");
    for text in [EXAMPLE, capacity, pools] {
        assert!(Site::parse(text).is_ok(), "{:?}", Site::parse(text).err());
    }
}

/// What is wrong is named with its place.
#[test]
fn wrong_fields_are_named() {
    let cases = [
        ("duration_s = 48.0", "duration_s = 0.0", "`duration_s`"),
        ("duration_s = 48.0", "duration_s = 1e9", "`duration_s`"),
        ("warmup_s = 10.0", "warmup_s = 80.0", "`warmup_s`"),
        ("warmup_s = 10.0", "warmup = 10.0", "unknown field `warmup`"),
        ("lease_s = 10.0", "", "missing field `lease_s`"),
        ("count = 3\n", "count = 300\n", "`controllers.count`"),
        ("zone = \"b\"", "zone = \"x\"", "`capacity[1].zone`"),
        ("type = \"g8\"", "type = \"x\"", "`capacity[0].type`"),
        ("tasks = [2, 4, 6]", "tasks = []", "`classes[1].tasks`"),
        ("run_s = 4.0", "run_s = -1.0", "`classes[1].run_s`"),
        (
            "cancelled = 0.2",
            "cancelled = 2.0",
            "`classes[2].cancelled`",
        ),
        ("controller = 1", "controller = 3", "`kills[0].controller`"),
        ("workers = 2", "", "`kills[1]`"),
        ("workers = 2", "zone = \"x\"", "`kills[1].zone`"),
        ("workers = 2", "workers = 2\nzone = \"a\"", "`kills[1]`"),
        ("workers = 2", "workers = 2\nholder = true", "`kills[1]`"),
        (
            "per_s = 1.0",
            "per_s = 1.0\nteam = \"x\"",
            "`classes[1].team`",
        ),
        (
            "per_s = 1.0",
            "per_s = 1.0\nanswers = true",
            "`classes[1].answers`",
        ),
        (
            "per_s = 1.0",
            "per_s = 1.0\nburst_s = 0.0",
            "`classes[1].burst_s`",
        ),
        (
            "kind = \"gang\"",
            "kind = \"gong\"",
            "unknown variant `gong`",
        ),
    ];
    for (from, to, named) in cases {
        let error = changed(from, to).expect_err(to);
        assert!(error.contains(named), "{to}: {error}");
    }
    let error = changed("kind = \"gang\"", "kind = \"gong\"").expect_err("no kind");
    assert!(error.contains("line "), "{error}");
}

#[test]
fn the_command_line_sets_sizes() {
    let site = Site::parse(EXAMPLE).expect("good");
    let before = site.clone();
    let overrides = Overrides {
        workers: Some(300),
        starts_per_s: Some(50.0),
        teams: Some(2),
        seed: Some(9),
        duration_s: Some(96.0),
        controllers: Some(5),
    };
    let site = site.with(&overrides).expect("good");
    assert_eq!(site.machines(), 300);
    assert!((site.starts_per_s() - 50.0).abs() < 1e-9);
    assert_eq!((site.seed, site.controllers.count), (9, 5));
    assert_eq!(site.warmup_s, 20.0, "in the same part of the run");
    assert_eq!(site.classes[0].initial, before.classes[0].initial * 10);
    let gpus = |site: &Site| {
        let teams = site.teams.iter();
        teams.map(|t| t.gpus_max * t.count as f64).sum::<f64>()
    };
    assert!((gpus(&site) - gpus(&before) * 10.0).abs() < 1e-6, "in all");
    let none = Overrides {
        controllers: Some(0),
        ..Overrides::default()
    };
    assert!(before.with(&none).is_err());
}
