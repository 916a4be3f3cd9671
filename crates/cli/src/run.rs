//! Runs the command given by the arguments.

use std::io::{Read, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use base::prelude::*;
use clap::{CommandFactory, Parser};
use serde_json::{Value, json};

use crate::args::{
    CheckArgs, Command, EndpointCommand, EvacuationsArgs, ExplainArgs, GroupsCommand,
    HistogramArgs, HostsCommand, LatenessArgs, PutArgs, SectionCommand, WatchArgs,
};
use crate::commands::drain::{DrainGoal, set_drain};
use crate::commands::new_key::new_key;
use crate::commands::put_section::{PutRequest, put_section};
use crate::output::printer_for;
use crate::queries::check::{CheckedFile, check_files};
use crate::queries::check_config::{check_config_file, is_config};
use crate::queries::evacuations::list_evacuations;
use crate::queries::explain::{LogFile, explain_request};
use crate::queries::histograms::{HistogramFilter, list_histograms};
use crate::queries::lateness::list_lateness;
use crate::queries::watch::{WatchRequest, watch_version};
use crate::queries::{groups, hosts, leases, limits, nodes, sections, stranded};
use crate::{
    Arguments, CliError, CommandOutcome, ExitStatus, OutputFormat, Report, ReportBody, Session,
};

/// Parses the arguments of this process, runs the command and prints its report.
pub fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run_and_print(arguments) {
        Ok(status) => status.into(),
        Err(error) => {
            eprintln!("bronzerun: {error}");
            error.status().into()
        }
    }
}

fn run_and_print(arguments: Arguments) -> Result<ExitStatus, CliError> {
    let printer = match &arguments.command {
        Command::Check(args) if args.json => printer_for(OutputFormat::Json),
        _ => printer_for(arguments.output),
    };
    let outcome = start(arguments)?;
    let text = printer.print(outcome.report.as_ref());
    std::io::stdout().write_all(text.as_bytes())?;
    Ok(outcome.status)
}

fn start(arguments: Arguments) -> Result<CommandOutcome, CliError> {
    match arguments.command {
        Command::Check(args) => check(&args),
        Command::Explain(args) => explain(&args),
        Command::Lateness(args) => lateness(&args),
        Command::Evacuations(args) => evacuations(&args),
        Command::Key(_) => Ok(new_key()),
        Command::Completions { shell } => Ok(CommandOutcome::success(CompletionReport::new(shell))),
        command => {
            let platform = arguments.platform.ok_or(CliError::NoPlatform)?;
            net::block_on(async {
                let session = Session::connect(platform);
                run(&session, command).await
            })?
        }
    }
}

/// Runs one command or query in a session.
pub async fn run(session: &Session, command: Command) -> Result<CommandOutcome, CliError> {
    match command {
        Command::Check(args) => check(&args),
        Command::Explain(args) => explain(&args),
        Command::Lateness(args) => lateness(&args),
        Command::Evacuations(args) => evacuations(&args),
        Command::Key(_) => Ok(new_key()),
        Command::Completions { shell } => Ok(CommandOutcome::success(CompletionReport::new(shell))),
        Command::Section(SectionCommand::List) => sections::list_sections(session).await,
        Command::Section(SectionCommand::Show { section }) => {
            sections::show_section(session, section).await
        }
        Command::Section(SectionCommand::History { section }) => {
            sections::list_edits(session, section).await
        }
        Command::Section(SectionCommand::Put(args)) => {
            put_section(session, &load_put_request(args)?).await
        }
        Command::Watch(args) => watch_version(session, &WatchRequest::from(args)).await,
        Command::Groups(GroupsCommand::List) => groups::list_groups(session).await,
        Command::Groups(GroupsCommand::Explain { group }) => {
            groups::explain_group(session, group).await
        }
        Command::Hosts(HostsCommand::List) => hosts::list_hosts(session).await,
        Command::Hosts(HostsCommand::Explain { host }) => hosts::explain_host(session, host).await,
        Command::Leases(_) => leases::list_leases(session).await,
        Command::Limits(_) => limits::list_limits(session).await,
        Command::Stranded(_) => stranded::list_stranded(session).await,
        Command::Nodes(_) => nodes::list_nodes(session).await,
        Command::Endpoint(EndpointCommand::Drain { host }) => {
            set_drain(session, host, DrainGoal::Drained).await
        }
        Command::Endpoint(EndpointCommand::Undrain { host }) => {
            set_drain(session, host, DrainGoal::InService).await
        }
        Command::Histograms(args) => list_histograms(session, &HistogramFilter::from(args)).await,
    }
}

fn check(args: &CheckArgs) -> Result<CommandOutcome, CliError> {
    let is_config_path = |path: &str| args.against.is_some() || path.ends_with(".json");
    let read = |path: &PathBuf| {
        read_checked(path).map_err(|error| match error {
            CliError::ReadFile { path, source } if is_config_path(&path) => {
                CliError::ReadConfig { path, source }
            }
            error => error,
        })
    };
    let files: Vec<_> = args.files.iter().map(read).collect::<Result<_, _>>()?;
    if let [file] = &files[..]
        && (args.against.is_some() || is_config(&file.text))
    {
        let against = args.against.as_ref().map(read);
        let against = against.transpose()?;
        return check_config_file(file, against.as_ref(), args.fabric_size);
    }
    if args.against.is_some() {
        return Err(CliError::SeveralConfigs);
    }
    Ok(check_files(&files, args.complete))
}

fn explain(args: &ExplainArgs) -> Result<CommandOutcome, CliError> {
    explain_request(&args.id, &read_logs(&args.files)?)
}

fn lateness(args: &LatenessArgs) -> Result<CommandOutcome, CliError> {
    Ok(list_lateness(&read_logs(&args.files)?, args.over))
}

fn evacuations(args: &EvacuationsArgs) -> Result<CommandOutcome, CliError> {
    Ok(list_evacuations(&read_logs(&args.files)?))
}

fn read_logs(paths: &[PathBuf]) -> Result<Vec<LogFile>, CliError> {
    let files = paths.iter().map(|path| {
        let name = path.file_stem().unwrap_or(path.as_os_str());
        Ok(LogFile {
            name: name.to_string_lossy().into_owned(),
            text: read_text(path)?,
        })
    });
    files.collect()
}

fn load_put_request(args: PutArgs) -> Result<PutRequest, CliError> {
    Ok(PutRequest {
        text: read_text(&args.file)?,
        section: args.section,
        owner: args.owner,
        revision: args.revision.map(SectionRevision),
    })
}

fn read_checked(path: &Path) -> Result<CheckedFile, CliError> {
    Ok(CheckedFile {
        file: path.display().to_string(),
        text: read_stable_text(path)?,
    })
}

/// Reads a file that must not change meanwhile: part of one text and part of another one may
/// look valid together.
fn read_stable_text(path: &Path) -> Result<Arc<str>, CliError> {
    if path == Path::new("-") {
        return read_text(path);
    }
    let state = || -> std::io::Result<_> {
        let metadata = std::fs::metadata(path)?;
        Ok((metadata.len(), metadata.modified()?))
    };
    let read_failed = |source| CliError::ReadFile {
        path: path.display().to_string(),
        source,
    };
    let before = state().map_err(read_failed)?;
    let text = read_text(path)?;
    let after = state().map_err(read_failed)?;
    let is_regular = std::fs::metadata(path).is_ok_and(|metadata| metadata.is_file());
    if before != after || (is_regular && after.0 != text.len() as u64) {
        return Err(CliError::ChangingFile {
            path: path.display().to_string(),
        });
    }
    Ok(text)
}

fn read_text(path: &Path) -> Result<Arc<str>, CliError> {
    let text = if path == Path::new("-") {
        let mut text = String::new();
        let read = std::io::stdin().read_to_string(&mut text);
        read.map(|_| text)
    } else {
        std::fs::read_to_string(path)
    };
    let text = text.map_err(|source| CliError::ReadFile {
        path: path.display().to_string(),
        source,
    })?;
    Ok(Arc::from(text))
}

impl From<WatchArgs> for WatchRequest {
    fn from(args: WatchArgs) -> Self {
        Self {
            version: args.version.map(ObjectVersion),
            section: args.section,
            timeout: Duration::from_secs(args.timeout),
        }
    }
}

impl From<HistogramArgs> for HistogramFilter {
    fn from(args: HistogramArgs) -> Self {
        Self {
            workspace: args.workspace,
            node: args.node,
        }
    }
}

/// Completion script for a shell.
struct CompletionReport(String);

impl CompletionReport {
    fn new(shell: clap_complete::Shell) -> Self {
        let mut script = Vec::new();
        clap_complete::generate(shell, &mut Arguments::command(), "bronzerun", &mut script);
        Self(String::from_utf8_lossy(&script).into_owned())
    }
}

impl Report for CompletionReport {
    fn to_json(&self) -> Value {
        json!({"script": self.0})
    }

    fn to_body(&self) -> ReportBody {
        ReportBody::Text(self.0.clone())
    }
}
