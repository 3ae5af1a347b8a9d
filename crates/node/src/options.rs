//! Creates the components of a process, or their options, from the settings.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use gs_clock::Clock;
use gs_conf::ConfigManager;
use gs_conf::ConfigManagerOptions;
use gs_http::ConnectionPoolsOptions;
use gs_http::Limits;
use gs_member::MemberSettings;
use gs_mesh::Mesh;
use gs_mesh::MeshSettings;
use gs_mesh::NngMesh;
use gs_once::ClaimSettings;
use gs_query::Engine;
use gs_query::EngineOptions;
use gs_query::PolicyName;
use gs_settings::Policy;
use gs_settings::Settings;
use gs_store::HttpPlatform;
use gs_store::HttpPlatformOptions;
use gs_store::Platform;
use gs_trace::Header;
use gs_types::prelude::*;
use tokio::sync::mpsc;

use crate::message::Message;
use crate::recording::Recording;

/// The longest time that a caller's kept-alive connection may be idle.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The channel of messages from other VMs.
pub(crate) type Inbox = mpsc::Receiver<gs_mesh::Received<Message>>;

/// The settings, and the values that are fixed once at the start of the process.
pub(crate) struct StartContext {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) seed: u64,
    pub(crate) clock: Arc<dyn Clock>,
}

impl StartContext {
    /// Sets the incarnation to the time of day in milliseconds, which differs from that of every earlier process on
    /// this VM. Without a configured seed, the seed is the same number.
    pub(crate) fn new(settings: Settings, clock: Arc<dyn Clock>) -> Self {
        let since = clock
            .wall()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let incarnation = Incarnation(u64::try_from(since.as_millis()).unwrap_or(u64::MAX));
        let seed = settings.tuning.seed.unwrap_or(incarnation.0);
        Self {
            settings,
            incarnation,
            seed,
            clock,
        }
    }

    /// Returns the name of this VM.
    pub(crate) fn vm(&self) -> VmId {
        self.settings.vm.name.clone()
    }

    /// Creates the client of the platform.
    pub(crate) fn new_platform(&self) -> Arc<dyn Platform> {
        let options = HttpPlatformOptions::builder()
            .addr(self.settings.platform.addr)
            .maybe_source(self.settings.source.ip)
            .seed(self.seed)
            .clock(Arc::clone(&self.clock))
            .timeout(self.settings.platform.timeout)
            .reads(self.settings.platform.reads_per_second)
            .writes(self.settings.platform.writes_per_second)
            .build();
        Arc::new(HttpPlatform::new(options))
    }

    /// Starts the mesh; returns it with the channel of incoming messages.
    pub(crate) fn start_mesh(&self) -> Result<(Arc<dyn Mesh<Message>>, Inbox)> {
        let cfg = MeshSettings::builder()
            .vm(self.settings.vm.name.clone())
            .incarnation(self.incarnation)
            .listen(self.settings.listen.mesh)
            .maybe_source(self.settings.source.ip)
            .secret(gs_mesh::Secret::new(self.settings.mesh.secret.expose())?)
            .build();
        let (mesh, rx) = NngMesh::start(cfg)?;
        Ok((Arc::new(mesh), rx))
    }

    /// Returns the options of the query engine.
    fn engine_options(&self) -> EngineOptions {
        EngineOptions {
            policy: match self.settings.tuning.policy {
                Policy::Chosen => PolicyName::Chosen,
                Policy::Baseline => PolicyName::Baseline,
            },
            lookups_max: self.settings.callers.in_flight,
            extra_ratio: self.settings.tuning.extra_budget.value(),
            ..EngineOptions::default()
        }
    }

    /// Creates the query engine.
    pub(crate) fn new_engine(&self) -> Result<Engine> {
        Engine::builder()
            .vm(self.settings.vm.name.clone())
            .incarnation(self.incarnation)
            .data_centre(self.settings.vm.data_centre.clone())
            .seed(self.seed)
            .options(self.engine_options())
            .build()
    }

    /// Starts the recording if the settings name a file; returns an inactive one otherwise.
    pub(crate) fn start_recording(&self) -> Result<Recording> {
        let Some(file) = &self.settings.record.file else {
            return Ok(Recording::default());
        };
        let header = Header::builder()
            .vm(self.settings.vm.name.clone())
            .incarnation(self.incarnation)
            .data_centre(self.settings.vm.data_centre.clone())
            .seed(self.seed)
            .options(self.engine_options())
            .build();
        Recording::start(file, &header, self.clock.now())
    }

    /// Creates the configuration manager.
    pub(crate) fn new_config_manager(&self) -> Result<ConfigManager> {
        let bootstrap = self
            .settings
            .bootstrap
            .as_ref()
            .map(|b| gs_conf::Bootstrap {
                team: b.team.clone(),
                key_sha256: b.key_sha256.to_string(),
            });
        let options = ConfigManagerOptions::builder()
            .vm(self.settings.vm.name.clone())
            .incarnation(self.incarnation)
            .seed(self.seed)
            .maybe_bootstrap(bootstrap)
            .build();
        ConfigManager::new(options)
    }

    /// Returns the settings of the membership.
    pub(crate) fn membership_settings(&self) -> MemberSettings {
        let me = gs_member::VmEntry {
            vm: self.settings.vm.name.clone(),
            data_centre: self.settings.vm.data_centre.clone(),
            region: self.settings.vm.region.clone(),
            mesh: self.settings.listen.mesh,
            callers: self.settings.listen.callers,
            admin: self.settings.listen.admin,
            leaving: false,
        };
        MemberSettings::builder()
            .me(me)
            .incarnation(self.incarnation)
            .seed(self.seed)
            .heartbeat_interval(self.settings.mesh.heartbeat)
            .build()
    }

    /// Returns the settings of the claims.
    pub(crate) fn once_settings(&self) -> ClaimSettings {
        ClaimSettings::builder()
            .vm(self.settings.vm.name.clone())
            .incarnation(self.incarnation)
            .claim_window(self.settings.claims.window)
            .clock_skew_max(self.settings.claims.skew)
            .build()
    }

    /// Returns the limits of callers' connections.
    pub(crate) fn caller_limits(&self) -> Limits {
        Limits {
            head_bytes_max: usize::try_from(self.settings.callers.headers.0).unwrap_or(usize::MAX),
            header_timeout: self.settings.callers.header_timeout,
            idle_timeout: CALLER_IDLE_TIMEOUT,
            connections_max: self.settings.callers.connections.0 as usize,
        }
    }

    /// Returns the options of the connections to backend servers.
    pub(crate) fn pool_options(&self) -> ConnectionPoolsOptions {
        ConnectionPoolsOptions::builder()
            .maybe_source(self.settings.source.ip)
            .connect_timeout(self.settings.servers.connect_timeout)
            .build()
    }
}
