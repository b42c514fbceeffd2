//! Tests of calendars.

use super::*;
use jiff::civil::date;

const SIZE: PoolSize = PoolSize {
    min_machines: 2,
    max_machines: 5,
};
const NONE: PoolSize = PoolSize {
    min_machines: 0,
    max_machines: 0,
};

fn window(from: u16, to: u16) -> Window {
    Window {
        weekdays: [true; 7],
        from_minute: from,
        to_minute: to,
        first_date: None,
        last_date: None,
        last_days_of_month: None,
        size: SIZE,
    }
}

fn at(text: &str) -> u64 {
    let instant: Timestamp = text.parse().expect("a time");
    instant.as_millisecond() as u64
}

fn calendar(zone: &str, windows: Vec<Window>) -> Calendar {
    Calendar::new(TimeZone::get(zone).expect("a zone"), windows, SIZE)
}

fn hours(from: u16, to: u16) -> Window {
    window(from * 60, to * 60)
}

#[test]
fn window_contains_times_by_their_local_time() {
    let weekdays = [true, true, true, true, true, false, false];
    let office = Window {
        weekdays,
        ..hours(9, 17)
    };
    let night = Window {
        weekdays,
        ..hours(22, 6)
    };
    let month_end = Window {
        last_days_of_month: Some(3),
        ..hours(0, 24)
    };
    let season = Window {
        first_date: Some(date(2026, 5, 30)),
        last_date: Some(date(2026, 6, 1)),
        ..hours(0, 24)
    };
    let cases = [
        // 2026-12-02 is a Wednesday. Lagos is one hour ahead of UTC all year.
        ("Africa/Lagos", &office, "2026-12-02T07:59:59Z", false),
        ("Africa/Lagos", &office, "2026-12-02T08:00:00Z", true),
        ("Africa/Lagos", &office, "2026-12-02T15:59:59Z", true),
        ("Africa/Lagos", &office, "2026-12-02T16:00:00Z", false),
        ("Africa/Lagos", &office, "2026-12-05T12:00:00Z", false),
        // A window over midnight belongs to the weekday on which it begins.
        ("UTC", &night, "2026-12-04T23:00:00Z", true),
        ("UTC", &night, "2026-12-05T05:59:00Z", true),
        ("UTC", &night, "2026-12-05T06:00:00Z", false),
        ("UTC", &night, "2026-12-05T23:00:00Z", false),
        ("UTC", &night, "2026-12-07T03:00:00Z", false),
        // Last days of months of different lengths, also in a leap year.
        ("UTC", &month_end, "2026-02-25T23:59:00Z", false),
        ("UTC", &month_end, "2026-02-26T00:00:00Z", true),
        ("UTC", &month_end, "2026-02-28T23:59:00Z", true),
        ("UTC", &month_end, "2026-03-01T00:00:00Z", false),
        ("UTC", &month_end, "2028-02-26T12:00:00Z", false),
        ("UTC", &month_end, "2028-02-29T12:00:00Z", true),
        ("UTC", &month_end, "2026-04-28T00:00:00Z", true),
        ("UTC", &season, "2026-05-29T23:59:00Z", false),
        ("UTC", &season, "2026-05-30T00:00:00Z", true),
        ("UTC", &season, "2026-06-01T23:59:00Z", true),
        ("UTC", &season, "2026-06-02T00:00:00Z", false),
        // In London, 01:00 to 02:00 is skipped on 29 March and repeated on 25 October.
        ("Europe/London", &hours(1, 2), "2026-03-28T01:30:00Z", true),
        ("Europe/London", &hours(1, 2), "2026-03-29T00:59:00Z", false),
        ("Europe/London", &hours(1, 2), "2026-03-29T01:00:00Z", false),
        ("Europe/London", &hours(1, 2), "2026-10-24T23:59:00Z", false),
        ("Europe/London", &hours(1, 2), "2026-10-25T00:00:00Z", true),
        ("Europe/London", &hours(1, 2), "2026-10-25T01:30:00Z", true),
        ("Europe/London", &hours(1, 2), "2026-10-25T02:00:00Z", false),
        // A window that begins in the skipped hour begins at the end of that hour.
        (
            "Europe/London",
            &window(90, 180),
            "2026-03-29T00:59:59Z",
            false,
        ),
        (
            "Europe/London",
            &window(90, 180),
            "2026-03-29T01:00:00Z",
            true,
        ),
        (
            "Europe/London",
            &window(90, 180),
            "2026-03-29T02:00:00Z",
            false,
        ),
    ];
    for (zone, window, time, is_open) in cases {
        let expected = if is_open { SIZE } else { NONE };
        let found = calendar(zone, vec![window.clone()]).size_at(at(time));
        assert_eq!(found, expected, "{zone} {time}");
    }
}

#[test]
fn size_is_constant_without_windows() {
    let calendar = calendar("UTC", Vec::new());
    for time in [0, at("2026-12-02T00:00:00Z"), u64::MAX] {
        assert_eq!(calendar.size_at(time), SIZE);
        assert_eq!(calendar.size_within(time, time), SIZE);
    }
}

/// Guards against a pool that is not ready when its window begins, and against machines that
/// are released in a short gap between two windows.
#[test]
fn size_within_a_span_is_the_largest_of_its_windows() {
    let larger = Window {
        size: PoolSize {
            min_machines: 4,
            max_machines: 4,
        },
        ..window(12 * 60 + 5, 14 * 60)
    };
    let calendar = calendar("UTC", vec![hours(9, 12), larger]);
    let ten_minutes = 600_000;
    let cases = [
        ("2026-12-02T08:49:59Z", NONE),
        ("2026-12-02T08:50:00Z", SIZE),
        ("2026-12-02T11:54:59Z", SIZE),
        (
            "2026-12-02T11:55:00Z",
            PoolSize {
                min_machines: 4,
                max_machines: 5,
            },
        ),
        (
            "2026-12-02T12:02:00Z",
            PoolSize {
                min_machines: 4,
                max_machines: 4,
            },
        ),
        (
            "2026-12-02T13:59:59Z",
            PoolSize {
                min_machines: 4,
                max_machines: 4,
            },
        ),
        ("2026-12-02T14:00:00Z", NONE),
    ];
    for (time, expected) in cases {
        let from = at(time);
        assert_eq!(
            calendar.size_within(from, from + ten_minutes),
            expected,
            "{time}"
        );
    }
}

#[test]
fn windows_overlap_if_some_time_is_in_both() {
    let on = |day: usize, window: Window| {
        let mut weekdays = [false; 7];
        weekdays[day] = true;
        Window { weekdays, ..window }
    };
    let dated = |first, last, window: Window| Window {
        first_date: Some(first),
        last_date: Some(last),
        ..window
    };
    let month_end = |days, window: Window| Window {
        last_days_of_month: Some(days),
        ..window
    };
    let cases = [
        (hours(9, 12), hours(12, 14), false),
        (hours(9, 12), window(719, 720), true),
        (hours(22, 6), hours(5, 7), true),
        (hours(22, 6), hours(6, 22), false),
        (on(0, hours(22, 6)), on(1, hours(5, 7)), true),
        (on(0, hours(22, 6)), on(2, hours(5, 7)), false),
        (on(6, hours(22, 6)), on(0, hours(0, 1)), true),
        (on(0, hours(0, 24)), month_end(1, hours(0, 24)), true),
        (
            dated(date(2026, 6, 1), date(2026, 6, 30), hours(0, 24)),
            dated(date(2026, 7, 1), date(2026, 7, 2), hours(0, 24)),
            false,
        ),
        (
            dated(date(2026, 6, 1), date(2026, 6, 30), hours(22, 6)),
            dated(date(2026, 7, 1), date(2026, 7, 2), hours(0, 24)),
            true,
        ),
        (
            dated(date(2031, 2, 3), date(2031, 2, 3), hours(0, 24)),
            month_end(1, hours(0, 24)),
            false,
        ),
    ];
    for (n, (window, other, expected)) in cases.into_iter().enumerate() {
        assert_eq!(window.overlaps(&other), expected, "case {n}");
        assert_eq!(other.overlaps(&window), expected, "case {n}, reversed");
    }
}
