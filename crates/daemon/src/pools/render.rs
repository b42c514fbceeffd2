//! Renders the status and the usage report of pools as text tables, from templates.
//!
//! The filters of the templates: `left` and `right` pad a text to the width of a column, `fixed`
//! rounds to a number of decimals, and `hours` converts seconds to hours with three decimals.

use super::status::PoolStatus;
use super::times;
use forkshift_pools::report::UsageReport;
use minijinja::{context, Environment, Error};

/// Template of the output of `pools status`.
const STATUS: &str = "\
{%- if pools %}{{ 'pool' | left(24) }}{{ 'team' | left(16) }}{{ 'asked' | right(7) }}\
{{ 'booting' | right(9) }}{{ 'up' | right(5) }}{{ 'fetching' | right(10) }}{{ 'warm' | right(6) }}\
{{ 'cost/h' | right(10) }}
{% for p in pools %}{{ p.pool | left(24) }}{{ p.team | left(16) }}{{ p.asked | right(7) }}\
{{ p.machines.booting | right(9) }}{{ p.machines.up | right(5) }}\
{{ p.machines.fetching | right(10) }}{{ p.machines.warm | right(6) }}\
{{ p.cost_per_hour | fixed(2) | right(10) }}
{% endfor %}{% else %}no pool is recorded{% endif %}";

/// Template of the output of `pools report`.
const REPORT: &str = "\
{{ from }} to {{ to }}
{% if pools %}
machine-hours:
{{ 'team' | left(16) }}{{ 'pool' | left(24) }}{{ 'asked' | right(10) }}{{ 'booting' | right(10) }}\
{{ 'up' | right(10) }}{{ 'fetching' | right(10) }}{{ 'warm' | right(10) }}{{ 'short' | right(10) }}
{% for p in pools %}{{ p.team | left(16) }}{{ p.pool | left(24) }}{{ p.asked_s | hours | right(10) }}\
{{ p.machine_s.booting | hours | right(10) }}{{ p.machine_s.up | hours | right(10) }}\
{{ p.machine_s.fetching | hours | right(10) }}{{ p.machine_s.warm | hours | right(10) }}\
{{ p.short_s | hours | right(10) }}
{% endfor %}
cost, and machines:
{{ 'team' | left(16) }}{{ 'pool' | left(24) }}{{ 'booting' | right(10) }}{{ 'up' | right(10) }}\
{{ 'fetching' | right(10) }}{{ 'warm' | right(10) }}{{ 'handed out' | right(12) }}\
{{ 'missed' | right(8) }}{{ 'reclaimed' | right(11) }}{{ 'lost' | right(6) }}
{% for p in pools %}{{ p.team | left(16) }}{{ p.pool | left(24) }}{{ p.cost.booting | fixed(2) | right(10) }}\
{{ p.cost.up | fixed(2) | right(10) }}{{ p.cost.fetching | fixed(2) | right(10) }}\
{{ p.cost.warm | fixed(2) | right(10) }}{{ p.handed_out | right(12) }}{{ p.missed | right(8) }}\
{{ p.reclaimed | right(11) }}{{ p.lost | right(6) }}
{% endfor %}
{% for team, cost in teams | items %}{{ team }} pays {{ cost | fixed(2) }}
{% endfor %}{% for p in pools %}{% if p.unpriced_s > 0 %}{{ p.pool }}: of {{ p.unpriced_s | hours }} \
machine-hours no price is recorded
{% endif %}{% endfor %}{% else %}nothing is recorded of pools in this time{% endif %}";

/// Renders the status of all pools.
pub(super) fn status(pools: &[PoolStatus]) -> Result<String, Error> {
    template_environment().render_str(STATUS, context! { pools })
}

/// Renders a usage report.
pub(super) fn report(report: &UsageReport) -> Result<String, Error> {
    let from = times::format(report.span.from_ms);
    let to = times::format(report.span.to_ms);
    let (pools, teams) = (&report.pools, &report.teams);
    template_environment().render_str(REPORT, context! { from, to, pools, teams })
}

/// Creates a template environment with the filters `left`, `right`, `fixed` and `hours`.
fn template_environment() -> Environment<'static> {
    let mut environment = Environment::new();
    environment.add_filter("left", |text: String, width: usize| {
        format!("{text:<width$}")
    });
    environment.add_filter("right", |text: String, width: usize| {
        format!("{text:>width$}")
    });
    environment.add_filter("fixed", |value: f64, digits: usize| {
        format!("{value:.digits$}")
    });
    environment.add_filter("hours", |seconds: f64| format!("{:.3}", seconds / 3_600.0));
    environment
}

#[cfg(test)]
mod tests;
