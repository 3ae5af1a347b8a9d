//! `check`: checks a settings file or a patch before it is used.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgGroup;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use gs_settings::Faults;
use gs_settings::Settings;
use serde_json::json;

use super::after_help;
use super::json_arg;
use super::patch_file;
use super::wants_json;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::output;

const SETTINGS: &str = "settings";
const PATCH: &str = "patch";
const CONFIG: &str = "config";

/// Declares the command.
pub(crate) fn command() -> Command {
    Command::new("check")
        .about("Checks a settings file or a patch and starts nothing")
        .arg(settings_arg())
        .arg(path_arg(PATCH, "Check this patch file (JSON)"))
        .arg(
            path_arg(
                CONFIG,
                "With --patch: apply it to this configuration (JSON)",
            )
            .requires(PATCH),
        )
        .group(
            ArgGroup::new("what")
                .args([SETTINGS, PATCH])
                .required(true)
                .multiple(true),
        )
        .arg(json_arg())
        .after_help(after_help(
            "  gentiansill check --settings vm.toml\n  \
             gentiansill check --patch change.json --config current.json",
        ))
}

/// Declares the `--settings` option, which other commands use too.
pub(super) fn settings_arg() -> Arg {
    path_arg(
        SETTINGS,
        "The settings file (TOML); docs/SETTINGS.md lists its keys",
    )
}

/// Declares an option that takes the path of a file.
fn path_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

/// Returns the path given with `--settings`.
pub(super) fn settings_path(m: &ArgMatches) -> PathBuf {
    m.get_one::<PathBuf>(SETTINGS).cloned().unwrap_or_default()
}

/// Loads the settings file given with `--settings`.
pub(super) fn load(m: &ArgMatches) -> Result<Settings, Faults> {
    gs_settings::load(&settings_path(m))
}

/// Runs the command.
pub(crate) fn run(m: &ArgMatches) -> Result<Exit, Failure> {
    let json = wants_json(m);
    if m.contains_id(SETTINGS) {
        print_settings_result(&load(m)?, json);
    }
    if let Some(path) = m.get_one::<PathBuf>(PATCH) {
        print_patch_result(
            &patch_file::check(path, m.get_one::<PathBuf>(CONFIG))?,
            json,
        );
    }
    Ok(Exit::Done)
}

fn print_settings_result(settings: &Settings, json: bool) {
    match json {
        true => output::print_json(&json!({ "settings": settings })),
        false => output::print_line("the settings are good"),
    }
}

fn print_patch_result(warnings: &[String], json: bool) {
    if json {
        output::print_json(&json!({ "warnings": warnings }));
        return;
    }
    for w in warnings {
        output::print_line(&format!("warning: {w}"));
    }
    output::print_line("the patch is good");
}
