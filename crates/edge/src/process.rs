//! Assembles a process from its components.

use std::sync::Arc;
use std::sync::Mutex;

use gs_actor::Feed;
use gs_actor::Shared;
use gs_actor::UnstartedActor;
use gs_clock::Clock;
use gs_http::BodyBudget;
use gs_http::ConnectOptions;
use gs_http::Server;
use gs_http::listen;
use gs_relay::CoalesceDelay;
use gs_relay::Event;
use gs_relay::Relay;
use gs_types::prelude::*;
use tokio::sync::watch;

use crate::announcer::VmAnnouncer;
use crate::callers::CallerHandler;
use crate::connection_pools::ConnectionPools;
use crate::crash_news::CrashNews;
use crate::directory::Directory;
use crate::directory::DirectoryKind;
use crate::directory_reachability::DirectoryReachability;
use crate::directory_watcher::DirectoryWatcher;
use crate::metrics::Metrics;
use crate::peers::PeerHandler;
use crate::register::PeerClient;
use crate::register::Register;
use crate::register::RegisterOptions;
use crate::relay_client::PendingRequests;
use crate::relay_client::RelayClient;
use crate::request_log::RequestLog;
use crate::seed::Seeder;
use crate::serve::Protocols;
use crate::settings::EdgeSettings;
use crate::shared_state::DEFAULT_LIMITS;
use crate::shared_state::SharedState;
use crate::shell::RelayShell;
use crate::shutdown::GracefulShutdown;
use crate::status::StatusHandler;

/// The components of a running process.
pub(crate) struct Process {
    settings: EdgeSettings,
    protocols: Protocols,
    relay: Shared<Relay>,
    pub(crate) feed: Feed<Event>,
    connection_pools: Arc<ConnectionPools>,
    pending: Arc<PendingRequests>,
    state: Arc<SharedState>,
    request_log: Arc<RequestLog>,
    bodies: Arc<BodyBudget>,
    answers: Arc<BodyBudget>,
    metrics: Arc<Metrics>,
    register: Arc<Register>,
    peers: Arc<PeerClient>,
}

impl Process {
    /// Starts the relay and the tasks that feed it events; accepts no callers yet.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if metrics cannot be set up.
    pub(crate) fn start(
        settings: EdgeSettings,
        protocols: Protocols,
        clock: Arc<dyn Clock>,
        seed: u64,
    ) -> Result<Self> {
        let vm = &settings.vm;
        let metrics = Arc::new(Metrics::new(&vm.name, &vm.data_centre)?);
        let slot: UnstartedActor<Relay, RelayShell> = UnstartedActor::new();
        let feed = slot.feed();
        let opts = ConnectOptions {
            source: Some(settings.listen.callers.ip()),
            connect_timeout: settings.servers.connect_timeout,
        };
        let codec = Arc::clone(&protocols.servers);
        let peers = Arc::new(PeerClient::new(opts));
        let register_opts = RegisterOptions::builder()
            .vm(vm.name.clone())
            .data_centre(vm.data_centre.clone())
            .first_start(vm.first_start)
            .drain(settings.servers.drain)
            .may_follow(settings.peers.follow)
            .build();
        let register = Arc::new(Register::new(
            Arc::clone(&protocols.directory),
            Arc::clone(&peers),
            register_opts,
        ));
        let this = Self {
            relay: Arc::new(Mutex::new(Relay::new(settings.relay(), seed))),
            connection_pools: Arc::new(ConnectionPools::new(codec, feed.clone(), opts)),
            pending: Arc::default(),
            state: Arc::default(),
            request_log: Arc::new(RequestLog::new(Arc::clone(&metrics))),
            bodies: Arc::new(BodyBudget::new(settings.request_bodies_max())),
            answers: Arc::new(BodyBudget::new(settings.answers_max())),
            metrics,
            register,
            peers: Arc::clone(&peers),
            settings,
            protocols,
            feed,
        };
        let shell = RelayShell {
            connection_pools: Arc::clone(&this.connection_pools),
            pending: Arc::clone(&this.pending),
            crash_news: Arc::new(CrashNews::new(Arc::clone(&peers), this.directory(), seed)),
        };
        slot.start(Arc::clone(&this.relay), shell, clock);
        let reachability = DirectoryReachability::new(this.feed.clone());
        for kind in [DirectoryKind::Routes, DirectoryKind::Servers] {
            tokio::spawn(this.watcher(kind, &reachability, seed).run());
        }
        let announcer = VmAnnouncer {
            me: this.settings.as_peer(),
            directory: this.directory(),
            register: Arc::clone(&this.register),
            feed: this.feed.clone(),
            reachability,
            first_start: this.settings.vm.first_start,
            renewal_interval: this.settings.platform.renew_every,
            seed,
        };
        tokio::spawn(announcer.run());
        // At the first start of the fleet no peer knows more than this VM.
        if this.settings.vm.first_start {
            this.state.set_version_min(ConfVersion(0));
        } else {
            let seeder = Seeder {
                seeds: this.settings.seeds(),
                peers,
                register: Arc::clone(&this.register),
                state: Arc::clone(&this.state),
                feed: this.feed.clone(),
                seed,
            };
            tokio::spawn(seeder.run());
        }
        Ok(this)
    }

    /// Starts listening for callers, peers and status requests; returns what shuts the process down.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] with the address that cannot be listened on.
    pub(crate) async fn open(&self) -> Result<GracefulShutdown> {
        let listen_on = &self.settings.listen;
        let callers = Server::new(listen(listen_on.callers, "callers").await?, DEFAULT_LIMITS);
        self.state.set_caller_limits(callers.limits());
        let peers = Server::new(listen(listen_on.peers, "peers").await?, DEFAULT_LIMITS);
        let status = Server::new(listen(listen_on.status, "status").await?, DEFAULT_LIMITS);
        let counts = callers.state();
        let (stop, stopped) = watch::channel(false);
        let status_handler = StatusHandler {
            state: Arc::clone(&self.state),
            relay: Arc::clone(&self.relay),
            connection_pools: Arc::clone(&self.connection_pools),
            callers: Arc::clone(&counts),
            metrics: Arc::clone(&self.metrics),
            register: Arc::clone(&self.register),
        };
        let peer_handler = PeerHandler {
            relay_client: self.relay_client(),
            relay: Arc::clone(&self.relay),
            register: Arc::clone(&self.register),
            peers: Arc::clone(&self.peers),
        };
        tokio::spawn(peers.run(Arc::new(peer_handler), stopped.clone()));
        // The status server answers until the process exits, so that the balancer receives `not ready` to the end.
        let (keep_open, no_stop) = watch::channel(false);
        let status_handler = Arc::new(status_handler);
        if let Some(addr) = listen_on.metrics {
            let scrapes = Server::new(listen(addr, "metrics").await?, DEFAULT_LIMITS);
            tokio::spawn(scrapes.run(
                Arc::<StatusHandler>::clone(&status_handler),
                no_stop.clone(),
            ));
        }
        tokio::spawn(async move {
            status.run(status_handler, no_stop).await;
            drop(keep_open);
        });
        let handler = CallerHandler {
            codec: Arc::clone(&self.protocols.callers),
            relay_client: self.relay_client(),
        };
        Ok(GracefulShutdown {
            vm: self.settings.vm.name.clone(),
            directory: self.directory(),
            cfg: self.settings.shutdown.clone(),
            state: Arc::clone(&self.state),
            relay: Arc::clone(&self.relay),
            feed: self.feed.clone(),
            callers: counts,
            stop,
            serving: tokio::spawn(callers.run(Arc::new(handler), stopped)),
        })
    }

    fn relay_client(&self) -> RelayClient {
        RelayClient {
            pending: Arc::clone(&self.pending),
            feed: self.feed.clone(),
            state: Arc::clone(&self.state),
            request_log: Arc::clone(&self.request_log),
            bodies: Arc::clone(&self.bodies),
            answers: Arc::clone(&self.answers),
        }
    }

    fn directory(&self) -> Arc<dyn Directory> {
        Arc::<Register>::clone(&self.register)
    }

    fn watcher(
        &self,
        kind: DirectoryKind,
        reachability: &Arc<DirectoryReachability>,
        seed: u64,
    ) -> DirectoryWatcher {
        DirectoryWatcher {
            kind,
            directory: self.directory(),
            feed: self.feed.clone(),
            shared_state: Arc::clone(&self.state),
            reachability: Arc::clone(reachability),
            coalesce_delay: CoalesceDelay::new(
                self.settings.servers.drain,
                self.settings.vm.first_start,
            ),
            seed: seed ^ kind as u64,
        }
    }
}
