//! Tests of `round`.

use super::*;

fn host(gpus: f64, zone: u16) -> Host {
    Host {
        free: Resources::new(64.0, gpus, 256.0),
        total: Resources::new(64.0, gpus, 256.0),
        machine_type: 0,
        zone,
        spot: false,
        price: 1.0,
        fetch_rate: 1.0,
        images: BTreeSet::new(),
        held: false,
        delay: 0.0,
        reserved_for: None,
    }
}

fn want(tasks: u32, gpus: f64) -> PendingTasks {
    PendingTasks {
        task: Resources::new(1.0, gpus, 1.0),
        waiting: (0..tasks).collect(),
        total: tasks,
        gang: false,
        band: 0,
        waited_s: 0.0,
        reservation: Reservation::None,
        reclaim: Reclaim::Nothing,
        standing: Standing::Ordinary,
        lacks_room: false,
        estimate: 10.0,
        team: 0,
        image: 0,
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        zones: BTreeMap::new(),
        avoid: BTreeSet::new(),
        reservations: BTreeSet::new(),
    }
}

fn quota(gpus: f64) -> Vec<Quota> {
    vec![Quota {
        limit: Resources::new(1000.0, gpus, 0.0),
        ..Quota::default()
    }]
}

fn run(wants: &mut [PendingTasks], hosts: &mut [Host], gpus: f64) -> Vec<Placement> {
    run_round(wants, hosts, &mut quota(gpus), &Weights::default())
}

#[test]
fn the_longest_goes_first_within_its_band() {
    let mut wants = [want(1, 8.0), want(1, 8.0), want(1, 8.0)];
    wants[1].estimate = 20.0;
    wants[2].band = 1;
    wants[2].estimate = 1.0;
    let mut hosts = [host(8.0, 0), host(8.0, 0)];
    let placed = run(&mut wants, &mut hosts, 100.0);
    let order: Vec<usize> = placed.iter().map(|p| p.job).collect();
    assert_eq!(order, [2, 1]);
    assert_eq!(wants[0].waiting, [0], "what has no room waits");
}

/// One of the largest jobs of a class once began after 289 s: longer jobs of
/// its team that had come later went first each time something came free.
#[test]
fn among_jobs_that_waited_long_the_oldest_goes_first() {
    // Band, wait and estimate of two jobs, and which is placed.
    let cases = [
        ("both fresh: the longest", (0, 0.0, 5.0), (0, 0.0, 20.0), 1),
        ("both aged: the oldest", (8, 90.0, 5.0), (8, 70.0, 20.0), 0),
        (
            "aged equally: the longest",
            (8, 70.0, 5.0),
            (8, 70.0, 20.0),
            1,
        ),
        ("one aged: that one", (8, 70.0, 5.0), (0, 0.0, 20.0), 0),
        ("bands go before waits", (8, 90.0, 5.0), (9, 70.0, 20.0), 1),
    ];
    for (name, first, second, expected) in cases {
        let mut wants = [want(1, 8.0), want(1, 8.0)];
        for (want, (band, waited_s, estimate)) in wants.iter_mut().zip([first, second]) {
            want.band = band;
            want.waited_s = waited_s;
            want.estimate = estimate;
        }
        let placed = run(&mut wants, &mut [host(8.0, 0)], 100.0);
        let placed: Vec<usize> = placed.iter().map(|p| p.job).collect();
        assert_eq!(placed, [expected], "{name}");
    }
}

#[test]
fn each_choice_is_booked_before_the_next() {
    let mut wants = [want(5, 4.0)];
    let mut hosts = [host(8.0, 0), host(8.0, 0)];
    assert_eq!(run(&mut wants, &mut hosts, 100.0).len(), 4);
    assert!(hosts.iter().all(|h| h.free.gpus == 0));
}

#[test]
fn zones_are_kept_to() {
    type Case = (&'static str, fn(&mut PendingTasks), usize);
    let cases: [Case; 6] = [
        ("anywhere", |_| (), 4),
        ("one zone", |w| w.one_zone = true, 2),
        (
            "one zone, held to by a task that is there",
            |w| {
                w.one_zone = true;
                w.zones.insert(7, 1);
            },
            0,
        ),
        ("spread", |w| w.spread = true, 4),
        (
            "spread, half of it is there already",
            |w| {
                w.spread = true;
                w.zones.insert(0, 2);
            },
            2,
        ),
        ("a zone of its own", |w| w.zone = Some(1), 2),
    ];
    for (name, change, expected) in cases {
        let mut wants = [want(4, 4.0)];
        change(&mut wants[0]);
        let mut hosts = [host(8.0, 0), host(8.0, 1)];
        assert_eq!(run(&mut wants, &mut hosts, 100.0).len(), expected, "{name}");
    }
}

#[test]
fn spread_of_one_task_is_one_zone() {
    let mut wants = [want(1, 4.0)];
    wants[0].spread = true;
    assert_eq!(run(&mut wants, &mut [host(8.0, 0)], 100.0).len(), 1);
}

/// Small tasks once kept taking the last of a team's limit, and a large
/// one of the same team waited for nine minutes.
#[test]
fn what_has_waited_long_is_not_overtaken() {
    let cases = [
        ("quota, fresh", false, 11.0, 8.0, 1),
        ("quota, aged", true, 11.0, 8.0, 0),
        ("room, fresh", false, 100.0, 6.0, 2),
        ("room, aged", true, 100.0, 6.0, 0),
    ];
    for (name, aged, limit, free, small) in cases {
        let mut wants = [want(1, 8.0), want(2, 2.0)];
        wants[0].band = 1;
        wants[0].reservation = if aged {
            Reservation::Room
        } else {
            Reservation::None
        };
        let mut hosts = [host(8.0, 0)];
        hosts[0].free.gpus = (free * 1000.0) as i64;
        let mut quotas = quota(limit);
        quotas[0].used = Resources::new(0.0, limit.min(8.0), 0.0);
        let placed = run_round(&mut wants, &mut hosts, &mut quotas, &Weights::default());
        assert_eq!(placed.len(), small, "{name}");
    }
}

/// A gang that needed all of its team's limit and two machines saw it free
/// again and again, and each time a task behind it took some of it while the
/// second machine was booting.
#[test]
fn quota_is_kept_while_machines_are_on_their_way() {
    // Whether it is kept, the team's limit, and how many others are placed.
    let cases = [
        ("not kept: a task behind takes it", false, 12.0, 1),
        ("kept", true, 12.0, 0),
        ("what is beyond the need is free", true, 16.0, 1),
    ];
    for (name, keeps, limit, placed_behind) in cases {
        let mut wants = [want(3, 4.0), want(1, 4.0)];
        wants[0].gang = true;
        wants[0].band = 8;
        wants[0].reservation = if keeps {
            Reservation::RoomAndQuota
        } else {
            Reservation::Room
        };
        wants[0].types = Some(vec![0]);
        let mut other = host(4.0, 0);
        other.machine_type = 1;
        let mut hosts = [host(8.0, 0), other];
        let mut quotas = quota(limit);
        let placed = run_round(&mut wants, &mut hosts, &mut quotas, &Weights::default());
        assert_eq!(placed.len(), placed_behind, "{name}");
        assert!(wants[0].lacks_room, "{name}");
        let used = 4_000 * placed_behind as i64;
        assert_eq!(
            quotas[0].used.gpus, used,
            "{name}: only what is placed is used"
        );
    }
}

#[test]
fn a_gang_is_placed_whole_or_undone() {
    let cases = [
        (4, false, 100.0, 4),
        (5, false, 100.0, 0),
        (3, true, 100.0, 0),
        (2, true, 100.0, 2),
        (4, false, 15.0, 0),
    ];
    for (tasks, one_zone, limit, expected) in cases {
        let mut wants = [want(tasks, 4.0)];
        wants[0].gang = true;
        wants[0].one_zone = one_zone;
        let mut hosts = [host(8.0, 0), host(8.0, 1)];
        let placed = run(&mut wants, &mut hosts, limit);
        assert_eq!(placed.len(), expected, "{tasks} {one_zone}");
        let free: i64 = hosts.iter().map(|h| h.free.gpus).sum();
        assert_eq!(free, 16_000 - 4_000 * expected as i64);
        if expected == 0 {
            assert!(hosts.iter().all(|h| h.images.is_empty()));
        }
    }
}

#[test]
fn quotas_and_kinds_of_machines_are_kept_to() {
    let mut wants = [want(4, 4.0)];
    assert_eq!(run(&mut wants, &mut [host(16.0, 0)], 9.0).len(), 2);
    let mut wants = [want(1, 4.0)];
    wants[0].spot = false;
    let mut spot = host(8.0, 0);
    spot.spot = true;
    assert!(run(&mut wants, &mut [spot], 100.0).is_empty());
    let mut wants = [want(1, 4.0)];
    wants[0].types = Some(vec![3]);
    assert!(run(&mut wants, &mut [host(8.0, 0)], 100.0).is_empty());
}

/// A team at its limit of GPUs, with a job that has waited long for some, once
/// kept its jobs without GPUs from running.
#[test]
fn what_is_kept_for_one_that_waited_holds_up_only_what_uses_it() {
    let cases = [("uses GPUs", 2.0, 0), ("uses none", 0.0, 1)];
    for (name, gpus, small) in cases {
        let mut wants = [want(1, 8.0), want(1, gpus)];
        wants[0].band = 1;
        wants[0].reservation = Reservation::Room;
        wants[1].task.cpus = 1_000;
        let mut hosts = [host(8.0, 0)];
        hosts[0].total.cpus = 8_000;
        hosts[0].free.cpus = 8_000;
        let mut quotas = quota(11.0);
        quotas[0].used = Resources::new(0.0, 8.0, 0.0);
        let placed = run_round(&mut wants, &mut hosts, &mut quotas, &Weights::default());
        assert_eq!(placed.len(), small, "{name}");
    }
}

/// A gang that had failed on the only machine, and was kept away from it for a
/// while, had it kept free all that time.
#[test]
fn no_machine_is_kept_for_one_that_avoids_it() {
    for (avoids, behind) in [(false, 0), (true, 1)] {
        let mut wants = [want(1, 8.0), want(1, 2.0)];
        wants[0].band = 1;
        wants[0].reservation = Reservation::Room;
        let mut hosts = [host(8.0, 0)];
        hosts[0].free.gpus -= 1_000;
        if avoids {
            wants[0].avoid.insert(0);
        }
        let placed = run(&mut wants, &mut hosts, 100.0);
        assert_eq!(placed.len(), behind, "avoids: {avoids}");
    }
}
