//! Command-line arguments, parsed into checked types.

use std::net::SocketAddr;
use std::path::PathBuf;

use base::prelude::*;
use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

const EXIT_HELP: &str = "\
Exit status:
  0  done
  1  failed
  2  the document or the arguments have faults
  3  not yet in force everywhere
  4  somebody else changed the section first
  5  the platform did not answer";

const CHECK_HELP: &str = "\
Examples:
  bronzerun check front.yaml              one section; names that it does not define are noted
  bronzerun check --complete *.yaml       a whole document; undefined names are faults
  bronzerun check new.json --against old.json
                                          a configuration of the users' platform, and what it
                                          changes; exit status 0 clean, 1 findings, 2 unreadable";

const PUT_HELP: &str = "\
Examples:
  bronzerun section show front > front.yaml
  vi front.yaml
  bronzerun section put front front.yaml --owner front-desk
  bronzerun section put new-section new.yaml --owner front-desk --revision 0";

const WATCH_HELP: &str = "\
Examples:
  bronzerun watch 1742
  bronzerun watch --latest --section front --timeout 10";

/// Edit the configuration document and inspect the state of the system.
#[derive(Clone, Debug, Parser)]
#[command(name = "bronzerun", version, after_help = EXIT_HELP)]
pub struct Arguments {
    /// Address of the platform's API.
    #[arg(
        long,
        global = true,
        env = "BRONZERUN_PLATFORM",
        value_name = "IP:PORT"
    )]
    pub platform: Option<SocketAddr>,
    /// Output format.
    #[arg(long, global = true, value_enum, default_value_t = OutputFormat::Table)]
    pub output: OutputFormat,
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// Aligned columns.
    Table,
    /// Indented JSON.
    Json,
}

const EXPLAIN_HELP: &str = "\
Give one file per node, named after the node, or one file in which each line
starts with the name of its node. Lines are ordered by their timestamps.";

const LATENESS_HELP: &str = "\
Give the logs of every node, as for 'explain'. Delays count from the first node;
'+' marks a node whose log ends before it knew. Times are those of each node's
own clock.";

const EVACUATIONS_HELP: &str = "\
Give the logs of every node, as for 'explain'. 'still sent' counts the requests
that a node sent to servers of the domain after the first node knew, and the time
of the last one.";

/// Commands of the command line.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Check sections, or a configuration of the users' platform, without the platform.
    #[command(after_help = CHECK_HELP)]
    Check(CheckArgs),
    /// Show and edit sections of the document.
    #[command(subcommand)]
    Section(SectionCommand),
    /// Wait until a version is in force on every node.
    #[command(after_help = WATCH_HELP)]
    Watch(WatchArgs),
    /// Show replica groups.
    #[command(subcommand)]
    Groups(GroupsCommand),
    /// Show hosts.
    #[command(subcommand)]
    Hosts(HostsCommand),
    /// Show owner leases of fabric domains.
    #[command(subcommand)]
    Leases(ListCommand),
    /// Show running and waiting calls by workspace and service.
    #[command(subcommand)]
    Limits(ListCommand),
    /// Show accelerators that are healthy but in no complete group.
    #[command(subcommand)]
    Stranded(ListCommand),
    /// Show the gateway and controller daemons.
    #[command(subcommand)]
    Nodes(ListCommand),
    /// Drain endpoints and return them to service.
    #[command(subcommand)]
    Endpoint(EndpointCommand),
    /// Show latencies by workspace and class of call.
    Histograms(HistogramArgs),
    /// Show the log events of one request across nodes, without the platform.
    #[command(after_help = EXPLAIN_HELP)]
    Explain(ExplainArgs),
    /// Show which nodes were late with a version or a leaving server, without the platform.
    #[command(after_help = LATENESS_HELP)]
    Lateness(LatenessArgs),
    /// Show evacuated failure domains and which nodes still sent there, without the platform.
    #[command(after_help = EVACUATIONS_HELP)]
    Evacuations(EvacuationsArgs),
    /// Create API keys.
    #[command(subcommand)]
    Key(KeyCommand),
    /// Print a shell completion script.
    Completions {
        /// Shell to print the script for.
        shell: Shell,
    },
}

/// Request to explain.
#[derive(Clone, Debug, Args)]
pub struct ExplainArgs {
    /// Request ID, as sent by the client.
    pub id: String,
    /// Log files of the nodes; '-' is standard input.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
}

/// Logs to search for late nodes.
#[derive(Clone, Debug, Args)]
pub struct LatenessArgs {
    /// Log files of the nodes; '-' is standard input.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
    /// Shortest delay or call that is left out, in milliseconds.
    #[arg(long, default_value_t = 1000, value_name = "MS")]
    pub over: u64,
}

/// Logs to search for evacuations.
#[derive(Clone, Debug, Args)]
pub struct EvacuationsArgs {
    /// Log files of the nodes; '-' is standard input.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
}

/// Sections to check.
#[derive(Clone, Debug, Args)]
pub struct CheckArgs {
    /// Files with one section each, or one configuration in JSON; '-' is standard input.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
    /// Treat the files as the whole document: an undefined name is a fault.
    #[arg(long)]
    pub complete: bool,
    /// Configuration of the users' platform that the file would replace.
    #[arg(long, value_name = "FILE", conflicts_with = "complete")]
    pub against: Option<PathBuf>,
    /// Servers in a fabric domain of the users' platform, which no group may exceed.
    #[arg(long, value_name = "SERVERS")]
    pub fabric_size: Option<usize>,
    /// Same as '--output json'.
    #[arg(long)]
    pub json: bool,
}

/// Subcommands for sections.
#[derive(Clone, Debug, Subcommand)]
pub enum SectionCommand {
    /// List the sections.
    List,
    /// Print a section, with its revision in the first line.
    Show {
        /// Name of the section.
        section: SectionName,
    },
    /// Print the latest edits of a section.
    History {
        /// Name of the section.
        section: SectionName,
    },
    /// Write a section unless somebody else has edited it since.
    #[command(after_help = PUT_HELP)]
    Put(PutArgs),
}

/// Section to write.
#[derive(Clone, Debug, Args)]
pub struct PutArgs {
    /// Name of the section.
    pub section: SectionName,
    /// File with the text; '-' is standard input.
    pub file: PathBuf,
    /// Team that owns the section.
    #[arg(long, env = "BRONZERUN_OWNER", value_name = "TEAM")]
    pub owner: TeamName,
    /// Revision that the text is based on; 0 for a new section.
    #[arg(long)]
    pub revision: Option<u64>,
}

/// Version to watch.
#[derive(Clone, Debug, Args)]
pub struct WatchArgs {
    /// Version of the document.
    #[arg(required_unless_present = "latest")]
    pub version: Option<u64>,
    /// Watch the newest version.
    #[arg(long, conflicts_with = "version")]
    pub latest: bool,
    /// Fail if a node holds this section back.
    #[arg(long)]
    pub section: Option<SectionName>,
    /// Longest time to wait, in seconds.
    #[arg(long, default_value_t = 30, value_name = "SECONDS")]
    pub timeout: u64,
}

/// Subcommands for replica groups.
#[derive(Clone, Debug, Subcommand)]
pub enum GroupsCommand {
    /// List the groups.
    List,
    /// Show whether a group is serving and why.
    Explain {
        /// Name of the group.
        group: GroupName,
    },
}

/// Subcommands for hosts.
#[derive(Clone, Debug, Subcommand)]
pub enum HostsCommand {
    /// List the hosts.
    List,
    /// Show the state of a host and the reasons for it.
    Explain {
        /// Name of the host.
        host: HostName,
    },
}

/// Subcommand of objects that can only be listed.
#[derive(Clone, Copy, Debug, Subcommand)]
pub enum ListCommand {
    /// Print the list.
    List,
}

/// Subcommands for endpoints.
#[derive(Clone, Debug, Subcommand)]
pub enum EndpointCommand {
    /// Send no new work to an endpoint; the work of its group goes to other groups.
    Drain {
        /// Host of the endpoint.
        host: HostName,
    },
    /// Return a drained endpoint to service.
    Undrain {
        /// Host of the endpoint.
        host: HostName,
    },
}

/// Histograms to read.
#[derive(Clone, Debug, Args)]
pub struct HistogramArgs {
    /// Show only this workspace.
    #[arg(long)]
    pub workspace: Option<WorkspaceName>,
    /// Show only this node.
    #[arg(long)]
    pub node: Option<NodeName>,
}

/// Subcommands for API keys.
#[derive(Clone, Copy, Debug, Subcommand)]
pub enum KeyCommand {
    /// Print a new key and its digest for the document.
    New,
}
