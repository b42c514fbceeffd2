use super::{CapacitySpec, ControllersSpec, MachineTypeSpec, Overrides, Site, TeamSpec};

const EXAMPLE: &str = include_str!("../../../../examples/emulation.toml");

fn parse_example_with(from: &str, to: &str) -> Result<Site, String> {
    assert!(EXAMPLE.contains(from), "{from}");
    Site::parse(&EXAMPLE.replacen(from, to, 1)).map_err(|e| e.to_string())
}

#[test]
fn example_sites_are_valid() {
    let capacity = include_str!("../../../../examples/capacity.toml");
    let pools = include_str!("../../../../examples/warm-pools.toml");
    for text in [EXAMPLE, capacity, pools] {
        assert!(Site::parse(text).is_ok(), "{:?}", Site::parse(text).err());
    }
}

/// An error that doesn't name the field with its path leaves the user to search a long file.
#[test]
fn an_invalid_field_is_named_with_its_path() {
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
        let error = parse_example_with(from, to).expect_err(to);
        assert!(error.contains(named), "{to}: {error}");
    }
    let error = parse_example_with("kind = \"gang\"", "kind = \"gong\"").expect_err("no kind");
    assert!(error.contains("line "), "{error}");
}

/// Guards against overrides that change a site's proportions: machines without the quotas or
/// the load for them, or a warm-up that takes another part of the run.
#[test]
fn overrides_scale_capacity_quotas_rates_and_times() {
    let site = Site::parse(EXAMPLE).expect("a valid site");
    let before = site.clone();
    let overrides = Overrides {
        workers: Some(300),
        starts_per_s: Some(50.0),
        teams: Some(2),
        seed: Some(9),
        duration_s: Some(96.0),
        controllers: Some(5),
    };
    let site = site.with_overrides(&overrides).expect("a valid site");
    assert_eq!(site.on_demand_machines(), 300);
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
    assert!(before.with_overrides(&none).is_err());
}

/// Formats a class with the value of each field, under its key in the file.
fn show_class(class: &super::JobClass) -> String {
    let super::JobClass {
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
        super::JobKindSpec::Array => "array",
        super::JobKindSpec::Gang => "gang",
        super::JobKindSpec::Service => "service",
    };
    let priority = match priority {
        super::workload::PrioritySpec::Low => "low",
        super::workload::PrioritySpec::Normal => "normal",
        super::workload::PrioritySpec::High => "high",
        super::workload::PrioritySpec::Production => "production",
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

fn show_faults(site: &Site) -> String {
    let mut text = String::new();
    for crash in &site.kills {
        text += &format!(
            "kill at_s {} controller {:?} workers {:?} zone {:?} holder {}\n",
            crash.at_s, crash.controller, crash.workers, crash.zone, crash.holder
        );
    }
    for cut in &site.cuts {
        let link = match cut.link {
            super::LinkKind::State => "state",
            super::LinkKind::Cloud => "cloud",
            super::LinkKind::Reports => "reports",
            super::LinkKind::Calls => "calls",
            super::LinkKind::Workers => "workers",
        };
        text += &format!(
            "cut at_s {} for_s {} controller {:?} link {link} every {}\n",
            cut.at_s, cut.for_s, cut.controller, cut.every
        );
    }
    text
}

fn show_controllers(controllers: &ControllersSpec) -> String {
    format!(
        "controllers count {} program {:?} operator {:?} arguments {:?}
  restart_s {} sockets {} base_port {}\n",
        controllers.count,
        controllers.program,
        controllers.operator,
        controllers.arguments,
        controllers.restart_s,
        controllers.sockets,
        controllers.base_port
    )
}

fn show_machine_type(machine_type: &MachineTypeSpec) -> String {
    format!(
        "machine_type {} cpus {} gpus {} memory_gb {} cache_gb {}
  fetch_gb_per_s {} price {} spot_price {:?} boot_s {}\n",
        machine_type.name,
        machine_type.cpus,
        machine_type.gpus,
        machine_type.memory_gb,
        machine_type.cache_gb,
        machine_type.fetch_gb_per_s,
        machine_type.price,
        machine_type.spot_price,
        machine_type.boot_s
    )
}

fn show_capacity(capacity: &CapacitySpec) -> String {
    format!(
        "capacity type {} zone {} count {} spot {}\n",
        capacity.machine_type, capacity.zone, capacity.count, capacity.spot
    )
}

fn show_team(team: &TeamSpec) -> String {
    format!(
        "team {} count {} cpus {} cpus_max {} gpus {} gpus_max {} names {:?}\n",
        team.name,
        team.count,
        team.cpus,
        team.cpus_max,
        team.gpus,
        team.gpus_max,
        team.names()
    )
}

fn show_services(site: &Site) -> String {
    let (workers, store, cloud) = (&site.workers, &site.state, &site.cloud);
    format!(
        "workers report_s {} lease_s {} gang_wait_s {} gang_peer_s {} cancel_s {} tells_images {}
state rps {} write_rps {} value_kb {} txn_ops {}
cloud rps {} boot_fail {}\n",
        workers.report_s,
        workers.lease_s,
        workers.gang_wait_s,
        workers.gang_peer_s,
        workers.cancel_s,
        workers.tells_images,
        store.rps,
        store.write_rps,
        store.value_kb,
        store.txn_ops,
        cloud.rps,
        cloud.boot_fail
    )
}

/// Formats a site with the value of each field, under its key in the file.
fn show(site: &Site) -> String {
    let mut text = format!(
        "name {} seed {} duration_s {} warmup_s {} zones {:?}\n",
        site.name, site.seed, site.duration_s, site.warmup_s, site.zones
    );
    text += &show_controllers(&site.controllers);
    text.extend(site.machine_types.iter().map(show_machine_type));
    text.extend(site.capacity.iter().map(show_capacity));
    text.extend(site.teams.iter().map(show_team));
    text += &show_services(site);
    text.extend(site.classes.iter().map(show_class));
    text + &show_faults(site)
}

/// Site files keep their keys: the example files and one with every key are parsed to the values
/// in `golden/values.txt`.
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
    let sites = files.map(|text| Site::parse(text).expect("a valid site"));
    let seen: Vec<String> = sites.iter().map(show).collect();
    let seen = seen.join("\n");
    assert!(seen == include_str!("golden/values.txt"), "{seen}");
}
