//! The prices of machine types over time.

use super::span::TimeSpan;
use crate::account::{Price, UsageInterval};
use std::collections::BTreeMap;

const MS_PER_HOUR: f64 = 3_600_000.0;

/// Prices by machine type, ordered by the time from which they are valid. A price is valid
/// until the next one of the same type.
#[derive(Debug, Default)]
pub struct PriceList<'a>(BTreeMap<&'a str, Vec<&'a Price>>);

impl<'a> PriceList<'a> {
    /// A list of the given prices, which may be in any order.
    pub fn new(prices: &'a [Price]) -> Self {
        let mut list: BTreeMap<&str, Vec<&Price>> = BTreeMap::new();
        for price in prices {
            list.entry(&price.machine_type).or_default().push(price);
        }
        for prices in list.values_mut() {
            prices.sort_by_key(|price| price.from_ms);
        }
        Self(list)
    }

    /// Cost of the part of an interval that is within a span, and the number of milliseconds
    /// of this part for which no price is recorded.
    pub fn cost(&self, interval: &UsageInterval, span: TimeSpan) -> (f64, u64) {
        let charged = span.clip(interval.from_ms, interval.to_ms);
        let prices = self.0.get(interval.machine_type.as_str());
        let prices = prices.map_or(&[][..], Vec::as_slice);
        let mut cost = 0.0;
        let mut priced_ms = 0;
        for (i, price) in prices.iter().enumerate() {
            let valid_until = prices.get(i + 1).map_or(u64::MAX, |next| next.from_ms);
            let hourly = match interval.spot {
                true => price.spot_hourly,
                false => Some(price.hourly),
            };
            let valid_ms = charged.clip(price.from_ms, valid_until).length_ms();
            if let Some(hourly) = hourly {
                priced_ms += valid_ms;
                cost += hourly * valid_ms as f64 / MS_PER_HOUR;
            }
        }
        (cost, charged.length_ms() - priced_ms)
    }
}
