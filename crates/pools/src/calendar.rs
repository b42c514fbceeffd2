//! The calendar of a pool: bounds on the number of its machines, by recurring time windows.
//!
//! A window is defined in the local time of a time zone, and contains each instant whose
//! local time is in it. When daylight saving time begins, a window within the skipped hour
//! is empty. When daylight saving time ends, the repeated hour counts twice.

use jiff::civil::{Date, DateTime};
use jiff::tz::TimeZone;
use jiff::Timestamp;
use std::ops::Range;

pub(crate) const MINUTES_PER_HOUR: u16 = 60;
/// Minutes in a day.
pub const MINUTES_PER_DAY: u16 = 24 * MINUTES_PER_HOUR;
const MS_PER_MINUTE: u64 = 60_000;
/// First date of the search for overlaps, if neither window has a first date. It is at the
/// beginning of a leap year.
const OVERLAP_SEARCH_START: Date = jiff::civil::date(2024, 1, 1);
/// Number of days that are searched for an overlap: five years, so that all relevant
/// combinations of days of the week, ends of months and leap days occur.
const OVERLAP_SEARCH_DAYS: u32 = 5 * 366;

/// Bounds on the number of machines of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolSize {
    /// Minimum number of machines.
    pub min_machines: u32,
    /// Maximum number of machines; 0 outside all windows.
    pub max_machines: u32,
}

impl PoolSize {
    /// The larger value of each bound.
    fn max(self, other: Self) -> Self {
        Self {
            min_machines: self.min_machines.max(other.min_machines),
            max_machines: self.max_machines.max(other.max_machines),
        }
    }
}

/// A recurring time window, with the bounds on the size of the pool in it. A window is at
/// most a day long, and may end on the day after it begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Window {
    /// For each day of the week, Monday first, whether the window may begin on it.
    pub weekdays: [bool; 7],
    /// Minute of the day at which the window begins, from 0 to 1,439.
    pub from_minute: u16,
    /// Minute of the day at which the window ends, up to 1,440; it is not in the window. If
    /// it is not after `from_minute`, the window ends on the next day.
    pub to_minute: u16,
    /// First date on which the window may begin; `None` is no bound.
    pub first_date: Option<Date>,
    /// Last date on which the window may begin; `None` is no bound.
    pub last_date: Option<Date>,
    /// If given, the window begins only on this number of days at the end of each month.
    pub last_days_of_month: Option<u8>,
    /// Bounds on the size of the pool in the window.
    pub size: PoolSize,
}

impl Window {
    fn is_overnight(&self) -> bool {
        self.to_minute <= self.from_minute
    }

    /// Whether the window begins on a date.
    pub fn begins_on(&self, date: Date) -> bool {
        let weekday = date.weekday().to_monday_zero_offset() as usize;
        let days_left = date.days_in_month() - date.day();
        self.weekdays[weekday]
            && self.first_date.is_none_or(|first| date >= first)
            && self.last_date.is_none_or(|last| date <= last)
            && self
                .last_days_of_month
                .is_none_or(|days| days_left < days as i8)
    }

    /// Whether a time, local to the time zone of the calendar, is in the window.
    pub fn contains(&self, local: DateTime) -> bool {
        let minute = local.hour() as u16 * MINUTES_PER_HOUR + local.minute() as u16;
        if !self.is_overnight() {
            return (self.from_minute..self.to_minute).contains(&minute)
                && self.begins_on(local.date());
        }
        let yesterday = local.date().yesterday();
        let began_yesterday = yesterday.is_ok_and(|date| self.begins_on(date));
        (minute >= self.from_minute && self.begins_on(local.date()))
            || (minute < self.to_minute && began_yesterday)
    }

    /// The minutes in the window, counted from the start of the day on which it begins.
    fn minutes(&self) -> Range<i32> {
        let days = i32::from(self.is_overnight());
        i32::from(self.from_minute)..i32::from(self.to_minute) + days * i32::from(MINUTES_PER_DAY)
    }

    /// Whether this window and the other one overlap if the other begins `days` days after
    /// this one. The number may be negative.
    fn overlaps_if_begun_after(&self, days: i32, other: &Self) -> bool {
        let offset = days * i32::from(MINUTES_PER_DAY);
        let (minutes, others) = (self.minutes(), other.minutes());
        minutes.start < others.end + offset && others.start + offset < minutes.end
    }

    /// Whether any time is in both windows. Five years of dates are searched, from the day
    /// before the later of the two first dates.
    pub fn overlaps(&self, other: &Self) -> bool {
        let first = self.first_date.max(other.first_date);
        let mut date = first
            .and_then(|d| d.yesterday().ok())
            .unwrap_or(OVERLAP_SEARCH_START);
        for _ in 0..OVERLAP_SEARCH_DAYS {
            let (Ok(yesterday), Ok(tomorrow)) = (date.yesterday(), date.tomorrow()) else {
                return false;
            };
            for (other_date, days) in [(yesterday, -1), (date, 0), (tomorrow, 1)] {
                let both_begin = self.begins_on(date) && other.begins_on(other_date);
                if both_begin && self.overlaps_if_begun_after(days, other) {
                    return true;
                }
            }
            date = tomorrow;
        }
        false
    }
}

/// The bounds on the size of a pool at any time.
#[derive(Clone, Debug)]
pub struct Calendar {
    time_zone: TimeZone,
    windows: Vec<Window>,
    /// Bounds that always apply if there are no windows.
    size_without_windows: PoolSize,
}

impl Calendar {
    /// A calendar of windows in a time zone. Windows that overlap must have the same size;
    /// the caller checks this. Without windows, `size_without_windows` always applies.
    pub fn new(time_zone: TimeZone, windows: Vec<Window>, size_without_windows: PoolSize) -> Self {
        Self {
            time_zone,
            windows,
            size_without_windows,
        }
    }

    /// Bounds on the size at a time, in milliseconds since 1970. Both are 0 outside all
    /// windows, and at a time that is out of the supported range.
    pub fn size_at(&self, wall_ms: u64) -> PoolSize {
        if self.windows.is_empty() {
            return self.size_without_windows;
        }
        let milliseconds = i64::try_from(wall_ms).ok();
        let timestamp = milliseconds.and_then(|ms| Timestamp::from_millisecond(ms).ok());
        let Some(timestamp) = timestamp else {
            return PoolSize::default();
        };
        let local = self.time_zone.to_datetime(timestamp);
        let window = self.windows.iter().find(|window| window.contains(local));
        window.map_or(PoolSize::default(), |window| window.size)
    }

    /// The largest value of each bound in a time span, in milliseconds since 1970. The sizes
    /// at `from_ms` and at each full minute up to `to_ms` are compared.
    ///
    /// The caller passes the span that begins now and lasts as long as a machine takes to
    /// become ready. As a result, a pool has its machines ready when a window begins, and
    /// keeps them in a gap between windows that is shorter than this span.
    pub fn size_within(&self, from_ms: u64, to_ms: u64) -> PoolSize {
        if self.windows.is_empty() {
            return self.size_without_windows;
        }
        let minutes = (from_ms / MS_PER_MINUTE + 1)..=(to_ms / MS_PER_MINUTE);
        let starts = minutes.map(|minute| minute * MS_PER_MINUTE);
        let times = std::iter::once(from_ms).chain(starts);
        times.fold(PoolSize::default(), |size, at| size.max(self.size_at(at)))
    }
}

#[cfg(test)]
mod tests;
