//! Progress of a run: a line that is drawn anew on a terminal, plain lines elsewhere.

use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::time::{Duration, Instant};

/// Plain lines come this often.
const PLAIN_EVERY: Duration = Duration::from_secs(5);

/// Shows how far a run is.
pub struct Progress {
    bar: Option<ProgressBar>,
    printed: Option<Instant>,
}

impl Progress {
    /// The progress of a run of so many seconds.
    pub fn new(seconds: u64) -> Self {
        let template = "[{elapsed_precise}] {bar:24} {msg}";
        let style = ProgressStyle::with_template(template);
        let bar = std::io::stderr().is_terminal().then(|| {
            let bar = ProgressBar::new(seconds);
            bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
            bar
        });
        Self { bar, printed: None }
    }

    /// The run is so far.
    pub fn show(&mut self, seconds: u64, message: &str) {
        if let Some(bar) = &self.bar {
            bar.set_position(seconds);
            bar.set_message(message.to_owned());
            return;
        }
        if self.printed.is_none_or(|at| at.elapsed() >= PLAIN_EVERY) {
            self.printed = Some(Instant::now());
            eprintln!("{seconds:>4} s: {message}");
        }
    }

    /// Something happened that deserves a line of its own.
    pub fn event(&self, message: &str) {
        match &self.bar {
            Some(bar) => bar.println(message),
            None => eprintln!("{message}"),
        }
    }

    /// The run is over.
    pub fn finish(&self) {
        if let Some(bar) = &self.bar {
            bar.finish();
        }
    }
}
