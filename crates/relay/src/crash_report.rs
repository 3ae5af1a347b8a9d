//! What VMs tell each other of requests that crash servers: evidence for the VMs that collect it,
//! and verdicts for all.

use std::time::Duration;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// A crash of a server while it had a request; times are relative to when the report was made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ReportedCrash {
    /// The service of the server.
    pub service: ServiceName,
    /// The server.
    pub server: ServerName,
    /// The server's incarnation, if it is known.
    pub born: Option<Incarnation>,
    /// The milliseconds since the attempt was sent.
    pub began_ms: u64,
    /// The milliseconds since the connection broke.
    pub ended_ms: u64,
    /// Whether servers of other shards may have executed the request without crashing.
    pub is_answered_elsewhere: bool,
}

/// Services whose servers executed a request without crashing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutedServices {
    /// These services; if there are none, it is not known which.
    Only(Vec<ServiceName>),
    /// All services of the route but these.
    AllBut(Vec<ServiceName>),
}

impl ExecutedServices {
    /// Returns whether a server of the service executed the request.
    #[must_use]
    pub fn covers(&self, service: &ServiceName) -> bool {
        match self {
            Self::Only(services) => services.contains(service),
            Self::AllBut(missing) => !missing.contains(service),
        }
    }
}

/// What a VM saw of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Observation {
    /// It crashed servers.
    Crashed(Vec<ReportedCrash>),
    /// Servers executed it without crashing, this many milliseconds before the report was made.
    Executed(ExecutedServices, u64),
}

/// What a VM saw of a request, for the VMs that collect the evidence against it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CrashReport {
    /// The request.
    pub request: Fingerprint,
    /// What was seen of it.
    pub observation: Observation,
}

impl CrashReport {
    /// Returns the report as if it were made this much later.
    #[must_use]
    pub fn aged(mut self, by: Duration) -> Self {
        // A report is sent far less than 2^64 ms after it was made.
        let by_ms = by.as_millis() as u64;
        match &mut self.observation {
            Observation::Crashed(crashes) => crashes.iter_mut().for_each(|c| {
                c.began_ms += by_ms;
                c.ended_ms += by_ms;
            }),
            Observation::Executed(_, ago_ms) => *ago_ms += by_ms,
        }
        self
    }
}

/// A decision on a request, which replaces all earlier ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Verdict {
    /// The request.
    pub request: Fingerprint,
    /// Counts the verdicts on the request.
    pub version: u32,
    /// How often in a row it was quarantined; 0 if it is released.
    pub strikes: u32,
    /// The rest of the quarantine; `None` if that is not known, as from the directory.
    #[serde(default)]
    pub remaining: Option<Duration>,
    /// The age of the evidence: a VM that saw the request executed since then contradicts.
    #[serde(default)]
    pub evidence_age: Option<Duration>,
    /// The only service that it crashes; `None` if it crashes all.
    #[serde(default)]
    pub service: Option<ServiceName>,
}

impl Verdict {
    /// Returns the verdict of a directory entry that says nothing but which request is quarantined.
    #[must_use]
    pub fn first(request: Fingerprint) -> Self {
        Self {
            request,
            version: 1,
            strikes: 1,
            remaining: None,
            evidence_age: None,
            service: None,
        }
    }

    /// Returns the verdict as if it were told this much later.
    #[must_use]
    pub fn aged(mut self, by: Duration) -> Self {
        self.remaining = self.remaining.map(|r| r.saturating_sub(by));
        self.evidence_age = self.evidence_age.map(|age| age + by);
        self
    }

    /// Returns whether it releases the request.
    #[must_use]
    pub fn is_release(&self) -> bool {
        self.strikes == 0
    }
}
