//! The number of machines that a pool keeps at any time, by recurring windows.
//!
//! A window is defined in the local time of a named time zone. A time is in a window if its
//! local time is: a window within the hour that daylight saving skips is empty, and one over
//! the hour that it repeats lasts twice as long.

use jiff::civil::{Date, DateTime};
use jiff::tz::TimeZone;
use jiff::Timestamp;
use std::ops::Range;

/// Minutes in an hour.
pub(crate) const MINUTES_PER_HOUR: u16 = 60;
/// Minutes in a day.
pub const MINUTES_PER_DAY: u16 = 24 * MINUTES_PER_HOUR;
/// Milliseconds in a minute.
const MS_PER_MINUTE: u64 = 60_000;
/// Date from which overlaps are searched for if no date bounds the windows: early in a leap
/// year.
const SEARCH_FROM: Date = jiff::civil::date(2024, 1, 1);
/// Days that are searched for an overlap: five years, so that weekdays, ends of months and
/// leap years occur in all combinations that matter.
const SEARCH_DAYS: u32 = 5 * 366;

/// Bounds on the number of machines of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolSize {
    /// Least number of machines.
    pub min_machines: u32,
    /// Most machines.
    pub max_machines: u32,
}

impl PoolSize {
    /// The larger of each bound.
    fn max(self, other: Self) -> Self {
        Self {
            min_machines: self.min_machines.max(other.min_machines),
            max_machines: self.max_machines.max(other.max_machines),
        }
    }
}

/// A recurring time window, with the size of the pool in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Window {
    /// Whether it begins on each day of the week, Monday first.
    pub weekdays: [bool; 7],
    /// Minute of the day at which it begins.
    pub from: u16,
    /// Minute of the day at which it ends, on the next day if this is not after `from`.
    pub to: u16,
    /// First date on which it may begin.
    pub first_date: Option<Date>,
    /// Last date on which it may begin.
    pub last_date: Option<Date>,
    /// Number of last days of a month on which alone it begins.
    pub last_days_of_month: Option<u8>,
    /// Size of the pool in it.
    pub size: PoolSize,
}

impl Window {
    fn is_overnight(&self) -> bool {
        self.to <= self.from
    }

    /// Whether it begins on a date.
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

    /// Whether a local time is in it.
    pub fn contains(&self, local: DateTime) -> bool {
        let minute = local.hour() as u16 * MINUTES_PER_HOUR + local.minute() as u16;
        if !self.is_overnight() {
            return (self.from..self.to).contains(&minute) && self.begins_on(local.date());
        }
        let yesterday = local.date().yesterday();
        let began_yesterday = yesterday.is_ok_and(|date| self.begins_on(date));
        (minute >= self.from && self.begins_on(local.date()))
            || (minute < self.to && began_yesterday)
    }

    /// Its minutes, counted from the start of the date on which it begins.
    fn minutes(&self) -> Range<i32> {
        let days = i32::from(self.is_overnight());
        i32::from(self.from)..i32::from(self.to) + days * i32::from(MINUTES_PER_DAY)
    }

    /// Whether this window, if it begins on a date, overlaps the other one, if that begins
    /// so many days later.
    fn overlaps_after(&self, days: i32, other: &Self) -> bool {
        let offset = days * i32::from(MINUTES_PER_DAY);
        let (minutes, others) = (self.minutes(), other.minutes());
        minutes.start < others.end + offset && others.start + offset < minutes.end
    }

    /// Whether some time is in both windows. Five years of dates are searched, from the
    /// first date of either on.
    pub fn overlaps(&self, other: &Self) -> bool {
        let first = self.first_date.max(other.first_date);
        let mut date = first
            .and_then(|d| d.yesterday().ok())
            .unwrap_or(SEARCH_FROM);
        for _ in 0..SEARCH_DAYS {
            let (Ok(yesterday), Ok(tomorrow)) = (date.yesterday(), date.tomorrow()) else {
                return false;
            };
            for (other_date, days) in [(yesterday, -1), (date, 0), (tomorrow, 1)] {
                let both_begin = self.begins_on(date) && other.begins_on(other_date);
                if both_begin && self.overlaps_after(days, other) {
                    return true;
                }
            }
            date = tomorrow;
        }
        false
    }
}

/// The size of a pool by time.
#[derive(Clone, Debug)]
pub struct Calendar {
    time_zone: TimeZone,
    windows: Vec<Window>,
    /// Size of the pool if there are no windows.
    size_without_windows: PoolSize,
}

impl Calendar {
    /// A calendar of windows in a time zone. Windows that overlap must have the same size.
    /// Without windows the size is always `always`.
    pub fn new(time_zone: TimeZone, windows: Vec<Window>, size_without_windows: PoolSize) -> Self {
        Self {
            time_zone,
            windows,
            size_without_windows,
        }
    }

    /// Size of the pool at a time, in milliseconds since 1970; zero outside all windows.
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

    /// The largest bounds at any minute of a time span, in milliseconds since 1970. Over the
    /// time that a machine takes to be ready, this fills a pool before its window begins,
    /// and does not empty it in a shorter gap between two windows.
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
