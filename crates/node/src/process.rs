//! Assembles the components of one process.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;

use gs_admin::AdminOptions;
use gs_admin::AdminServer;
use gs_conf::ConfigManager;
use gs_http::CallerHandler;
use gs_http::ConnectionPools;
use gs_http::Server;
use gs_http::ServerState;
use gs_http::listen;
use gs_member::Membership;
use gs_mesh::Mesh;
use gs_once::IdempotencyClaims;
use gs_query::Engine;
use gs_store::Platform;
use gs_types::prelude::*;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::config_manager_shell::ConfigManagerShell;
use crate::config_manager_shell::PendingProposals;
use crate::dumps::Dumps;
use crate::dumps::FleetDumpRequests;
use crate::engine_client::EngineClient;
use crate::engine_client::PendingLookups;
use crate::engine_shell::EngineShell;
use crate::engine_shell::EngineSink;
use crate::feeds::Feeds;
use crate::inbox;
use crate::membership_shell::MembershipShell;
use crate::message::Message;
use crate::metrics::Metrics;
use crate::metrics::VmLabels;
use crate::once_shell::OnceShell;
use crate::operator_api::NodeOperatorApi;
use crate::options::Inbox;
use crate::options::StartContext;
use crate::peer_sender::PeerSender;
use crate::platform_calls::PlatformCalls;
use crate::platform_watcher::PlatformWatcher;
use crate::recording::Recording;
use crate::server_poll;
use crate::shared_state::SharedState;
use crate::shutdown::GracefulShutdown;
use gs_actor::Shared;
use gs_actor::UnstartedActor;

/// The addresses that a process listens on, bound before anything else starts.
pub(crate) struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
}

impl Listeners {
    /// Binds both addresses.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] with the address that cannot be bound.
    pub(crate) async fn bind(start: &StartContext) -> Result<Self> {
        Ok(Self {
            callers: listen(start.settings.listen.callers, "callers").await?,
            operators: listen(start.settings.listen.admin, "operators").await?,
        })
    }
}

/// One process: its state machines, and what they share.
pub(crate) struct Process {
    start: StartContext,
    machines: Machines,
    feeds: Feeds,
    state: Arc<SharedState>,
    platform: Arc<dyn Platform>,
    mesh: Arc<dyn Mesh<Message>>,
    peer_sender: PeerSender,
    pool: Arc<ConnectionPools>,
    pending: Arc<PendingLookups>,
    proposals: Arc<PendingProposals>,
    metrics: Arc<Metrics>,
    recording: Arc<Recording>,
}

/// The state machines, shared between their actors and the readers of their state.
struct Machines {
    engine: Shared<Engine>,
    config_manager: Shared<ConfigManager>,
    membership: Shared<Membership>,
    once: Shared<IdempotencyClaims>,
}

/// The actors of the state machines, before they start.
struct UnstartedActors {
    engine: UnstartedActor<Engine, EngineShell>,
    config_manager: UnstartedActor<ConfigManager, ConfigManagerShell>,
    membership: UnstartedActor<Membership, MembershipShell>,
    once: UnstartedActor<IdempotencyClaims, OnceShell>,
}

impl Process {
    /// Starts the state machines and the polling of backend servers; accepts no lookups yet.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if the mesh's address cannot be bound or the recording cannot be written.
    pub(crate) fn start(start: StartContext) -> Result<(Self, Inbox)> {
        let actors = UnstartedActors {
            engine: UnstartedActor::new(),
            config_manager: UnstartedActor::new(),
            membership: UnstartedActor::new(),
            once: UnstartedActor::new(),
        };
        let feeds = actors.feeds();
        let state = Arc::new(SharedState::default());
        let (mesh, inbox) = start.start_mesh()?;
        let sink = EngineSink(feeds.engine.clone());
        let vm = &start.settings.vm;
        let metrics = Metrics::new(&VmLabels {
            name: &vm.name,
            data_centre: &vm.data_centre,
        })?;
        let this = Self {
            machines: Machines::new(&start)?,
            peer_sender: PeerSender::new(Arc::clone(&mesh), Arc::clone(&state)),
            pool: Arc::new(ConnectionPools::new(start.pool_options(), Arc::new(sink))),
            platform: start.new_platform(),
            recording: Arc::new(start.start_recording()?),
            metrics: Arc::new(metrics),
            pending: Arc::default(),
            proposals: Arc::default(),
            start,
            feeds,
            state,
            mesh,
        };
        this.start_actors(actors);
        Ok((this, inbox))
    }

    /// Begins to follow the platform and to accept lookups and operators' calls.
    ///
    /// Returns the admin interface and the graceful shutdown of the process.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if a listener has no address.
    pub(crate) fn open(
        &self,
        listeners: Listeners,
        inbox: Inbox,
    ) -> Result<(AdminServer, GracefulShutdown)> {
        let settings = &self.start.settings;
        let server = Server::new(listeners.callers, self.start.caller_limits());
        let callers = server.state();
        let dumps = Arc::new(self.dumps(Arc::clone(&callers)));
        let watcher = self.platform_watcher();
        watcher.clone().start();
        tokio::spawn(inbox::run(inbox, watcher, Arc::clone(&dumps)));
        let admin = self.admin(listeners.operators, dumps)?;
        let (stop, stopped) = watch::channel(false);
        let body = usize::try_from(settings.callers.body.0).unwrap_or(usize::MAX);
        let handler = Arc::new(CallerHandler::new(
            Arc::new(self.engine_client()),
            body,
            settings.callers.body_timeout,
        ));
        let serving = tokio::spawn(server.run(Arc::clone(&handler) as _, stopped));
        let shutdown = GracefulShutdown {
            cfg: settings.shutdown.clone(),
            clock: Arc::clone(&self.start.clock),
            state: Arc::clone(&self.state),
            feeds: self.feeds.clone(),
            engine: Arc::clone(&self.machines.engine),
            pool: Arc::clone(&self.pool),
            callers,
            handler,
            stop,
            serving,
        };
        Ok((admin, shutdown))
    }

    /// Ends the recording, if there is one.
    pub(crate) fn finish_recording(&self) {
        self.recording.finish();
    }

    /// Starts the actors and the polling of backend servers.
    fn start_actors(&self, actors: UnstartedActors) {
        let clock = || Arc::clone(&self.start.clock);
        let m = &self.machines;
        actors
            .engine
            .start(Arc::clone(&m.engine), self.engine_shell(), clock());
        actors.config_manager.start(
            Arc::clone(&m.config_manager),
            self.config_manager_shell(),
            clock(),
        );
        actors
            .membership
            .start(Arc::clone(&m.membership), self.membership_shell(), clock());
        actors
            .once
            .start(Arc::clone(&m.once), self.once_shell(), clock());
        self.feeds.config_manager.push(gs_conf::Event::Start);
        self.feeds.membership.push(gs_member::Event::Tick);
        tokio::spawn(server_poll::run(
            Arc::clone(&self.pool),
            Arc::clone(&self.state),
            self.feeds.engine.clone(),
            self.start.settings.servers.poll,
        ));
    }

    fn engine_shell(&self) -> EngineShell {
        EngineShell {
            pool: Arc::clone(&self.pool),
            pending: Arc::clone(&self.pending),
            state: Arc::clone(&self.state),
            feeds: self.feeds.clone(),
            peer_sender: self.peer_sender.clone(),
            recording: Arc::clone(&self.recording),
        }
    }

    fn config_manager_shell(&self) -> ConfigManagerShell {
        ConfigManagerShell {
            calls: self.calls(),
            feeds: self.feeds.clone(),
            peer_sender: self.peer_sender.clone(),
            proposals: Arc::clone(&self.proposals),
        }
    }

    fn membership_shell(&self) -> MembershipShell {
        MembershipShell {
            calls: self.calls(),
            feeds: self.feeds.clone(),
            peer_sender: self.peer_sender.clone(),
            mesh: Arc::clone(&self.mesh),
            pool: Arc::clone(&self.pool),
            state: Arc::clone(&self.state),
        }
    }

    fn once_shell(&self) -> OnceShell {
        OnceShell {
            calls: self.calls(),
            feeds: self.feeds.clone(),
            peer_sender: self.peer_sender.clone(),
        }
    }

    fn calls(&self) -> PlatformCalls {
        PlatformCalls(Arc::clone(&self.platform))
    }

    fn platform_watcher(&self) -> PlatformWatcher {
        PlatformWatcher {
            platform: Arc::clone(&self.platform),
            feeds: self.feeds.clone(),
            state: Arc::clone(&self.state),
            peer_sender: self.peer_sender.clone(),
            seed: self.start.seed,
            watch_wait: self.start.settings.platform.watch_wait,
            config_manager: Arc::clone(&self.machines.config_manager),
        }
    }

    fn engine_client(&self) -> EngineClient {
        EngineClient {
            vm: self.start.vm(),
            incarnation: self.start.incarnation,
            next_seq: AtomicU64::new(1),
            pending: Arc::clone(&self.pending),
            engine: self.feeds.engine.clone(),
            config_manager: Arc::clone(&self.machines.config_manager),
            metrics: Arc::clone(&self.metrics),
            clock: Arc::clone(&self.start.clock),
        }
    }

    fn dumps(&self, callers: Arc<ServerState>) -> Dumps {
        Dumps {
            settings: serde_json::to_value(&self.start.settings).unwrap_or_default(),
            incarnation: self.start.incarnation,
            clock: Arc::clone(&self.start.clock),
            engine: Arc::clone(&self.machines.engine),
            config_manager: Arc::clone(&self.machines.config_manager),
            membership: Arc::clone(&self.machines.membership),
            once: Arc::clone(&self.machines.once),
            pool: Arc::clone(&self.pool),
            callers,
            state: Arc::clone(&self.state),
            mesh: Arc::clone(&self.mesh),
            platform: Arc::clone(&self.platform),
            peer_sender: self.peer_sender.clone(),
            fleet_dump_requests: FleetDumpRequests::default(),
        }
    }

    fn admin(&self, listener: TcpListener, dumps: Arc<Dumps>) -> Result<AdminServer> {
        let api = NodeOperatorApi {
            config_manager: Arc::clone(&self.machines.config_manager),
            feed: self.feeds.config_manager.clone(),
            proposals: Arc::clone(&self.proposals),
            next_call: AtomicU64::new(1),
            platform: Arc::clone(&self.platform),
            dumps,
            metrics: Arc::clone(&self.metrics),
            clock: Arc::clone(&self.start.clock),
        };
        let options = AdminOptions::builder()
            .addr(self.start.settings.listen.admin)
            .api(Arc::new(api))
            .build();
        AdminServer::from_listener(listener, options)
    }
}

impl Machines {
    fn new(start: &StartContext) -> Result<Self> {
        Ok(Self {
            engine: shared(start.new_engine()?),
            config_manager: shared(start.new_config_manager()?),
            membership: shared(Membership::new(start.membership_settings())?),
            once: shared(IdempotencyClaims::new(start.once_settings())?),
        })
    }
}

impl UnstartedActors {
    fn feeds(&self) -> Feeds {
        Feeds {
            engine: self.engine.feed(),
            config_manager: self.config_manager.feed(),
            membership: self.membership.feed(),
            once: self.once.feed(),
        }
    }
}

fn shared<M>(machine: M) -> Shared<M> {
    Arc::new(Mutex::new(machine))
}
