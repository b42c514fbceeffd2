//! How many machines a pool keeps at a time, by windows of a calendar.
//!
//! A window is given in the local time of a named time zone. Whether a moment lies in it
//! is decided by the clock on the wall there: in the hour that is missing in spring a
//! window has no time, and one over the hour that comes twice in autumn lasts twice.

use jiff::civil::{Date, DateTime};
use jiff::tz::TimeZone;
use jiff::Timestamp;

/// Minutes in a day.
pub const MINUTES_A_DAY: u16 = 24 * 60;
const MS_A_MINUTE: u64 = 60_000;

/// How many machines a pool keeps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// At least so many.
    pub least: u32,
    /// At most so many.
    pub most: u32,
}

impl Size {
    /// The larger of each.
    fn max(self, other: Self) -> Self {
        Self {
            least: self.least.max(other.least),
            most: self.most.max(other.most),
        }
    }
}

/// A recurring time, with what the pool keeps in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Window {
    /// Days of the week on which it begins, Monday first.
    pub weekdays: [bool; 7],
    /// Minute of the day at which it begins.
    pub from: u16,
    /// Minute at which it ends; if that is not later, on the next day.
    pub to: u16,
    /// The first date on which it begins, if it is not from ever.
    pub first_date: Option<Date>,
    /// The last date on which it begins, if it is not for ever.
    pub last_date: Option<Date>,
    /// It begins only on so many last days of a month.
    pub last_days_of_month: Option<u8>,
    /// What the pool keeps in it.
    pub size: Size,
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

    /// Whether a moment of local time lies in it.
    pub fn contains(&self, local: DateTime) -> bool {
        let minute = local.hour() as u16 * 60 + local.minute() as u16;
        if !self.is_overnight() {
            return (self.from..self.to).contains(&minute) && self.begins_on(local.date());
        }
        let yesterday = local.date().yesterday();
        let since_yesterday = yesterday.is_ok_and(|date| self.begins_on(date));
        (minute >= self.from && self.begins_on(local.date()))
            || (minute < self.to && since_yesterday)
    }

    /// The minutes that it takes, counted from the start of the date on which it begins.
    fn minutes(&self) -> (i32, i32) {
        let next_day = if self.is_overnight() {
            MINUTES_A_DAY
        } else {
            0
        };
        (i32::from(self.from), i32::from(self.to + next_day))
    }

    /// Whether some moment lies in both, as far as dates of some years tell: weekdays,
    /// ends of months and leap years come in all combinations that matter by then.
    pub fn overlaps(&self, other: &Self) -> bool {
        let first = self.first_date.max(other.first_date);
        let mut date = first
            .and_then(|d| d.yesterday().ok())
            .unwrap_or(SEARCH_FROM);
        for _ in 0..SEARCH_DAYS {
            let (Ok(yesterday), Ok(tomorrow)) = (date.yesterday(), date.tomorrow()) else {
                return false;
            };
            for (other_date, shift) in [(yesterday, -1), (date, 0), (tomorrow, 1)] {
                let both = self.begins_on(date) && other.begins_on(other_date);
                if both && meet(self.minutes(), other.minutes(), shift) {
                    return true;
                }
            }
            date = tomorrow;
        }
        false
    }
}

/// Where the search for an overlap begins that no date bounds.
const SEARCH_FROM: Date = jiff::civil::date(2024, 1, 1);
/// Days that are searched for an overlap: five years.
const SEARCH_DAYS: u32 = 5 * 366;

/// Whether two spans of minutes meet, the second one shifted by days.
fn meet(one: (i32, i32), other: (i32, i32), days: i32) -> bool {
    let shift = days * i32::from(MINUTES_A_DAY);
    one.0 < other.1 + shift && other.0 + shift < one.1
}

/// When a pool keeps how much.
#[derive(Clone, Debug)]
pub struct Calendar {
    zone: TimeZone,
    windows: Vec<Window>,
    /// What it keeps if it has no windows.
    always: Size,
}

impl Calendar {
    /// A calendar of windows that don't contradict each other, in a time zone. Without
    /// windows the pool always keeps the same.
    pub fn new(zone: TimeZone, windows: Vec<Window>, always: Size) -> Self {
        Self {
            zone,
            windows,
            always,
        }
    }

    /// What the pool keeps at a time of day, in milliseconds since 1970; outside all
    /// windows nothing.
    pub fn size_at(&self, wall_ms: u64) -> Size {
        if self.windows.is_empty() {
            return self.always;
        }
        let instant = i64::try_from(wall_ms).ok();
        let Some(instant) = instant.and_then(|ms| Timestamp::from_millisecond(ms).ok()) else {
            return Size::default();
        };
        let local = self.zone.to_datetime(instant);
        let found = self.windows.iter().find(|w| w.contains(local));
        found.map_or(Size::default(), |w| w.size)
    }

    /// The most that it keeps at any time of a span. Asked for with the time that a
    /// machine takes to be ready, a pool is full when its window begins, and a gap
    /// between two windows that is shorter than that empties nothing.
    pub fn size_within(&self, from_ms: u64, to_ms: u64) -> Size {
        if self.windows.is_empty() {
            return self.always;
        }
        let minutes = (from_ms / MS_A_MINUTE + 1)..=(to_ms / MS_A_MINUTE);
        let starts = minutes.map(|minute| minute * MS_A_MINUTE);
        let times = std::iter::once(from_ms).chain(starts);
        times.fold(Size::default(), |size, at| size.max(self.size_at(at)))
    }
}

#[cfg(test)]
mod tests;
