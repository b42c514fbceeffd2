//! Shows the progress of a run on standard error: as a progress bar on a terminal, and as
//! plain lines elsewhere.

use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::time::{Duration, Instant};

/// Shortest interval between two plain lines.
const LINE_INTERVAL: Duration = Duration::from_secs(5);

/// The progress of a run.
pub(crate) struct Progress {
    /// `None` if standard error is not a terminal.
    bar: Option<ProgressBar>,
    /// Time of the last plain line.
    last_line: Option<Instant>,
}

impl Progress {
    /// Starts to show the progress of a run that takes `seconds`.
    pub(crate) fn new(seconds: u64) -> Self {
        let template = "[{elapsed_precise}] {bar:24} {msg}";
        let style = ProgressStyle::with_template(template);
        let bar = std::io::stderr().is_terminal().then(|| {
            let bar = ProgressBar::new(seconds);
            bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
            bar
        });
        Self {
            bar,
            last_line: None,
        }
    }

    /// Shows the elapsed seconds with a message. Of plain lines, one per [`LINE_INTERVAL`] is
    /// printed.
    pub(crate) fn show(&mut self, seconds: u64, message: &str) {
        if let Some(bar) = &self.bar {
            bar.set_position(seconds);
            bar.set_message(message.to_owned());
            return;
        }
        if self
            .last_line
            .is_none_or(|time| time.elapsed() >= LINE_INTERVAL)
        {
            self.last_line = Some(Instant::now());
            eprintln!("{seconds:>4} s: {message}");
        }
    }

    /// Prints an event at once, on a line of its own.
    pub(crate) fn print_event(&self, message: &str) {
        match &self.bar {
            Some(bar) => bar.println(message),
            None => eprintln!("{message}"),
        }
    }

    /// Completes the progress bar at the end of the run.
    pub(crate) fn finish(&self) {
        if let Some(bar) = &self.bar {
            bar.finish();
        }
    }
}
