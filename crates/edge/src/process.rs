//! One process, put together.

use std::sync::Arc;
use std::sync::Mutex;

use gs_actor::Feed;
use gs_actor::Shared;
use gs_actor::Slot;
use gs_clock::Clock;
use gs_http::LaneOptions;
use gs_http::Server;
use gs_http::listen;
use gs_relay::CoalesceDelay;
use gs_relay::Event;
use gs_relay::Relay;
use gs_types::prelude::*;
use tokio::sync::watch;

use crate::callers::Callers;
use crate::contact::Contact;
use crate::desk::Desk;
use crate::desk::Pending;
use crate::directory::Directory;
use crate::directory::DirectoryKind;
use crate::ends::Ends;
use crate::follow::Follower;
use crate::lanes::Lanes;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::readiness::Status;
use crate::register::PeerClient;
use crate::register::Register;
use crate::register::RegisterOptions;
use crate::roster::RosterKeeper;
use crate::seed::Seeder;
use crate::serve::Protocols;
use crate::settings::EdgeSettings;
use crate::shell::RelayShell;
use crate::shutdown::Leaver;
use crate::state::FIRST_LIMITS;
use crate::state::State;

/// One process.
pub(crate) struct Process {
    settings: EdgeSettings,
    protocols: Protocols,
    relay: Shared<Relay>,
    pub(crate) feed: Feed<Event>,
    lanes: Arc<Lanes>,
    pending: Arc<Pending>,
    state: Arc<State>,
    ends: Arc<Ends>,
    metrics: Arc<Metrics>,
    register: Arc<Register>,
}

impl Process {
    /// Starts the relay and what feeds it; takes no callers yet.
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
        let slot: Slot<Relay, RelayShell> = Slot::new();
        let feed = slot.feed();
        let opts = LaneOptions {
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
            lanes: Arc::new(Lanes::new(codec, feed.clone(), opts)),
            pending: Arc::default(),
            state: Arc::default(),
            ends: Arc::new(Ends::new(Arc::clone(&metrics))),
            metrics,
            register,
            settings,
            protocols,
            feed,
        };
        let shell = RelayShell {
            lanes: Arc::clone(&this.lanes),
            pending: Arc::clone(&this.pending),
            directory: this.directory(),
        };
        slot.start(Arc::clone(&this.relay), shell, clock);
        let contact = Contact::new(this.feed.clone());
        for kind in [DirectoryKind::Routes, DirectoryKind::Servers] {
            tokio::spawn(this.follower(kind, &contact, seed).run());
        }
        let keeper = RosterKeeper {
            me: this.settings.as_peer(),
            directory: this.directory(),
            register: Arc::clone(&this.register),
            feed: this.feed.clone(),
            contact,
            first_start: this.settings.vm.first_start,
            renew_every: this.settings.platform.renew_every,
            seed,
        };
        tokio::spawn(keeper.run());
        // At the first start of all nobody knows more.
        if !this.settings.vm.first_start {
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

    /// Takes callers; gives what ends the process.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] with the address that is not to be had.
    pub(crate) async fn open(&self) -> Result<Leaver> {
        let listen_on = &self.settings.listen;
        let callers = Server::new(listen(listen_on.callers, "callers").await?, FIRST_LIMITS);
        self.state.set_callers(callers.limits());
        let peers = Server::new(listen(listen_on.peers, "peers").await?, FIRST_LIMITS);
        let status = Server::new(listen(listen_on.status, "status").await?, FIRST_LIMITS);
        let counts = callers.state();
        let (stop, stopped) = watch::channel(false);
        let answers = Status {
            state: Arc::clone(&self.state),
            relay: Arc::clone(&self.relay),
            lanes: Arc::clone(&self.lanes),
            callers: Arc::clone(&counts),
            metrics: Arc::clone(&self.metrics),
            register: Arc::clone(&self.register),
        };
        let handed = Peers {
            desk: self.desk(),
            relay: Arc::clone(&self.relay),
            register: Arc::clone(&self.register),
        };
        tokio::spawn(peers.run(Arc::new(handed), stopped.clone()));
        // It answers until the process is gone, so that the balancer is told `not ready` to the end.
        let (forever, never) = watch::channel(false);
        let answers = Arc::new(answers);
        if let Some(addr) = listen_on.metrics {
            let scrapes = Server::new(listen(addr, "metrics").await?, FIRST_LIMITS);
            tokio::spawn(scrapes.run(Arc::<Status>::clone(&answers), never.clone()));
        }
        tokio::spawn(async move {
            status.run(answers, never).await;
            drop(forever);
        });
        let handler = Callers {
            codec: Arc::clone(&self.protocols.callers),
            desk: self.desk(),
        };
        Ok(Leaver {
            vm: self.settings.vm.name.clone(),
            directory: self.directory(),
            cfg: self.settings.shutdown.clone(),
            state: Arc::clone(&self.state),
            relay: Arc::clone(&self.relay),
            callers: counts,
            stop,
            serving: tokio::spawn(callers.run(Arc::new(handler), stopped)),
        })
    }

    fn desk(&self) -> Desk {
        Desk {
            pending: Arc::clone(&self.pending),
            feed: self.feed.clone(),
            state: Arc::clone(&self.state),
            ends: Arc::clone(&self.ends),
        }
    }

    fn directory(&self) -> Arc<dyn Directory> {
        Arc::<Register>::clone(&self.register)
    }

    fn follower(&self, kind: DirectoryKind, contact: &Arc<Contact>, seed: u64) -> Follower {
        Follower {
            kind,
            directory: self.directory(),
            feed: self.feed.clone(),
            state: Arc::clone(&self.state),
            contact: Arc::clone(contact),
            settle: CoalesceDelay::new(self.settings.servers.drain, self.settings.vm.first_start),
            seed: seed ^ kind as u64,
        }
    }
}
