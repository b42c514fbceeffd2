//! What scripts use of a program's `--help`: names and defaults, not prose.

/// Names of commands, options, their values and their defaults, a line each.
pub(crate) fn option_names(help: &str) -> String {
    let mut names = String::new();
    let mut is_command = false;
    for line in help.lines() {
        let text = line.trim();
        let word = |from: &str| {
            from.split([' ', ':', ','])
                .next()
                .unwrap_or_default()
                .to_owned()
        };
        is_command &= !text.is_empty();
        if let Some(long) = text.find("--").filter(|_| text.starts_with('-')) {
            names += &format!("{}\n", word(&text[long..]));
        } else if let Some(value) = text.strip_prefix("- ") {
            names += &format!("  value {}\n", word(value));
        } else if text.starts_with("[default") {
            names += &format!("  {text}\n");
        } else if is_command {
            names += &format!("command {}\n", word(text));
        }
        is_command |= text == "Commands:";
    }
    names
}
