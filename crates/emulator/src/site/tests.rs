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

/// A class as it was read, each value behind its name in the file.
fn show_class(class: &super::Class) -> String {
    let super::Class {
        name,
        kind,
        priority,
        tasks,
        cpus,
        gpus,
        memory_gb,
        image_gb,
        images,
        run_s,
        initial,
        per_s,
        from_s,
        cancelled,
        cancelled_within_s,
        spread,
        one_zone,
        spot,
        wait_s,
        team,
        image,
        answers,
        burst_s,
    } = class;
    let kind = match kind {
        super::Kind::Array => "array",
        super::Kind::Gang => "gang",
        super::Kind::Service => "service",
    };
    let priority = match priority {
        super::PrioritySpec::Low => "low",
        super::PrioritySpec::Normal => "normal",
        super::PrioritySpec::High => "high",
        super::PrioritySpec::Production => "production",
    };
    format!(
        "class {name} kind {kind} priority {priority} tasks {tasks:?}
  cpus {cpus} gpus {gpus} memory_gb {memory_gb} image_gb {image_gb} images {images}
  run_s {run_s} initial {initial} per_s {per_s} from_s {from_s}
  cancelled {cancelled} cancelled_within_s {cancelled_within_s}
  spread {spread} one_zone {one_zone} spot {spot} wait_s {wait_s:?}
  team {team:?} image {image:?} answers {answers} burst_s {burst_s:?}\n"
    )
}

fn show_troubles(site: &Site) -> String {
    let mut text = String::new();
    for kill in &site.kills {
        text += &format!(
            "kill at_s {} controller {:?} workers {:?} zone {:?} holder {}\n",
            kill.at_s, kill.controller, kill.workers, kill.zone, kill.holder
        );
    }
    for cut in &site.cuts {
        let link = match cut.link {
            super::CutLink::State => "state",
            super::CutLink::Cloud => "cloud",
            super::CutLink::Reports => "reports",
            super::CutLink::Calls => "calls",
            super::CutLink::Workers => "workers",
        };
        text += &format!(
            "cut at_s {} for_s {} controller {:?} link {link} every {}\n",
            cut.at_s, cut.for_s, cut.controller, cut.every
        );
    }
    text
}

/// A site as it was read, each value behind its name in the file.
fn show(site: &Site) -> String {
    let mut text = format!(
        "name {} seed {} duration_s {} warmup_s {} zones {:?}\n",
        site.name, site.seed, site.duration_s, site.warmup_s, site.zones
    );
    let c = &site.controllers;
    text += &format!(
        "controllers count {} program {:?} operator {:?} arguments {:?}\n",
        c.count, c.program, c.operator, c.arguments
    );
    text += &format!(
        "  restart_s {} sockets {} base_port {}\n",
        c.restart_s, c.sockets, c.base_port
    );
    for t in &site.machine_types {
        text += &format!(
            "machine_type {} cpus {} gpus {} memory_gb {} cache_gb {}\n",
            t.name, t.cpus, t.gpus, t.memory_gb, t.cache_gb
        );
        text += &format!(
            "  fetch_gb_per_s {} price {} spot_price {:?} boot_s {}\n",
            t.fetch_gb_per_s, t.price, t.spot_price, t.boot_s
        );
    }
    for c in &site.capacity {
        text += &format!(
            "capacity type {} zone {} count {} spot {}\n",
            c.machine_type, c.zone, c.count, c.spot
        );
    }
    for t in &site.teams {
        text += &format!(
            "team {} count {} cpus {} cpus_max {} gpus {} gpus_max {} names {:?}\n",
            t.name,
            t.count,
            t.cpus,
            t.cpus_max,
            t.gpus,
            t.gpus_max,
            t.names()
        );
    }
    let w = &site.workers;
    text += &format!(
        "workers report_s {} lease_s {} gang_wait_s {} gang_peer_s {} cancel_s {} tells_images {}\n",
        w.report_s, w.lease_s, w.gang_wait_s, w.gang_peer_s, w.cancel_s, w.tells_images
    );
    let s = &site.state;
    text += &format!(
        "state rps {} write_rps {} value_kb {} txn_ops {}\n",
        s.rps, s.write_rps, s.value_kb, s.txn_ops
    );
    let cloud = &site.cloud;
    text += &format!("cloud rps {} boot_fail {}\n", cloud.rps, cloud.boot_fail);
    text.extend(site.classes.iter().map(show_class));
    text + &show_troubles(site)
}

/// Site files are read to the values in `golden/values.txt`.
#[test]
fn golden_site_files_keep_their_values() {
    let files = [
        include_str!("golden/full.toml"),
        EXAMPLE,
        include_str!("../../../../examples/capacity.toml"),
        include_str!("../../../../examples/cold-start.toml"),
        include_str!("../../../../examples/partial-cuts.toml"),
        include_str!("../../../../examples/warm-pools.toml"),
    ];
    let sites = files.map(|text| Site::parse(text).expect("it is good"));
    let seen: Vec<String> = sites.iter().map(show).collect();
    let seen = seen.join("\n");
    assert!(seen == include_str!("golden/values.txt"), "{seen}");
}
