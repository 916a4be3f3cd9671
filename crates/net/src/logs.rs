//! Logs as JSON lines on standard error.

use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;

/// Error that prevents logging from being set up.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The configuration of the logger is invalid.
    #[error("the logger could not be set up: {0}")]
    Config(#[from] log4rs::config::runtime::ConfigErrors),
    /// The process already has a logger.
    #[error("the process already has a logger: set up logging only once: {0}")]
    Started(#[from] log::SetLoggerError),
}

/// Logs every record of a level or above to standard error.
pub fn init_stderr_logs(level: LevelFilter) -> Result<(), LogError> {
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let appender = Appender::builder().build("console", Box::new(console));
    let root = Root::builder().appender("console").build(level);
    let config = Config::builder().appender(appender).build(root)?;
    log4rs::init_config(config)?;
    Ok(())
}
