//! One process, put together.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;

use gs_admin::AdminOptions;
use gs_admin::AdminServer;
use gs_conf::ConfigManager;
use gs_http::Callers;
use gs_http::Pool;
use gs_http::Server;
use gs_http::ServerState;
use gs_http::listen;
use gs_member::Membership;
use gs_mesh::Mesh;
use gs_once::Once;
use gs_query::Engine;
use gs_store::Platform;
use gs_types::prelude::*;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::board::Board;
use crate::book_shell::Asks;
use crate::book_shell::BookShell;
use crate::calls::Calls;
use crate::desk::NodeDesk;
use crate::desk::Pending;
use crate::dumps::Asked;
use crate::dumps::Dumps;
use crate::engine_shell::EngineShell;
use crate::engine_shell::EngineSink;
use crate::feeds::Feeds;
use crate::inbox;
use crate::member_shell::MemberShell;
use crate::message::Message;
use crate::metrics::Metrics;
use crate::metrics::Vm;
use crate::once_shell::OnceShell;
use crate::operators::Operators;
use crate::options::Inbox;
use crate::options::Start;
use crate::poll;
use crate::recording::Recording;
use crate::shutdown::Leaver;
use crate::spread::Spread;
use crate::watch::Follower;
use gs_actor::Shared;
use gs_actor::Slot;

/// The addresses that a process listens on, bound before anything else starts.
pub(crate) struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
}

impl Listeners {
    /// Binds both.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] with the address that is not to be had.
    pub(crate) async fn bind(start: &Start) -> Result<Self> {
        Ok(Self {
            callers: listen(start.settings.listen.callers, "callers").await?,
            operators: listen(start.settings.listen.admin, "operators").await?,
        })
    }
}

/// One process: its decisions, and what they share.
pub(crate) struct Process {
    start: Start,
    machines: Machines,
    feeds: Feeds,
    board: Arc<Board>,
    platform: Arc<dyn Platform>,
    mesh: Arc<dyn Mesh<Message>>,
    spread: Spread,
    pool: Arc<Pool>,
    pending: Arc<Pending>,
    asks: Arc<Asks>,
    metrics: Arc<Metrics>,
    recording: Arc<Recording>,
}

/// The decisions, shared between their actors and the readers of dumps.
struct Machines {
    engine: Shared<Engine>,
    book: Shared<ConfigManager>,
    member: Shared<Membership>,
    once: Shared<Once>,
}

/// The decisions' mailboxes, before their actors start.
struct Slots {
    engine: Slot<Engine, EngineShell>,
    book: Slot<ConfigManager, BookShell>,
    member: Slot<Membership, MemberShell>,
    once: Slot<Once, OnceShell>,
}

impl Process {
    /// Starts the decisions and everything that feeds them; takes no lookups yet.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if the mesh's address is not to be had or the recording cannot be written.
    pub(crate) fn start(start: Start) -> Result<(Self, Inbox)> {
        let slots = Slots {
            engine: Slot::new(),
            book: Slot::new(),
            member: Slot::new(),
            once: Slot::new(),
        };
        let feeds = slots.feeds();
        let board = Arc::new(Board::default());
        let (mesh, inbox) = start.mesh()?;
        let sink = EngineSink(feeds.engine.clone());
        let vm = &start.settings.vm;
        let metrics = Metrics::new(&Vm {
            name: &vm.name,
            data_centre: &vm.data_centre,
        })?;
        let this = Self {
            machines: Machines::new(&start)?,
            spread: Spread::new(Arc::clone(&mesh), Arc::clone(&board)),
            pool: Arc::new(Pool::new(start.pool(), Arc::new(sink))),
            platform: start.platform(),
            recording: Arc::new(start.recording()?),
            metrics: Arc::new(metrics),
            pending: Arc::default(),
            asks: Arc::default(),
            start,
            feeds,
            board,
            mesh,
        };
        this.run(slots);
        Ok((this, inbox))
    }

    /// Takes lookups and operators' calls; gives what ends the process.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if a listener has no address.
    pub(crate) fn open(&self, listeners: Listeners, inbox: Inbox) -> Result<(AdminServer, Leaver)> {
        let settings = &self.start.settings;
        let server = Server::new(listeners.callers, self.start.caller_limits());
        let callers = server.state();
        let dumps = Arc::new(self.dumps(Arc::clone(&callers)));
        let follower = self.follower();
        follower.clone().start();
        tokio::spawn(inbox::run(inbox, follower, Arc::clone(&dumps)));
        let admin = self.admin(listeners.operators, dumps)?;
        let (stop, stopped) = watch::channel(false);
        let body = usize::try_from(settings.callers.body.0).unwrap_or(usize::MAX);
        let handler = Callers::new(Arc::new(self.desk()), body, settings.callers.body_timeout);
        let serving = tokio::spawn(server.run(Arc::new(handler), stopped));
        let leaver = Leaver {
            cfg: settings.shutdown.clone(),
            clock: Arc::clone(&self.start.clock),
            board: Arc::clone(&self.board),
            feeds: self.feeds.clone(),
            engine: Arc::clone(&self.machines.engine),
            pool: Arc::clone(&self.pool),
            callers,
            stop,
            serving,
        };
        Ok((admin, leaver))
    }

    /// Ends the recording, if there is one.
    pub(crate) fn finish(&self) {
        self.recording.finish();
    }

    fn run(&self, slots: Slots) {
        let clock = || Arc::clone(&self.start.clock);
        let m = &self.machines;
        slots
            .engine
            .start(Arc::clone(&m.engine), self.engine_shell(), clock());
        slots
            .book
            .start(Arc::clone(&m.book), self.book_shell(), clock());
        slots
            .member
            .start(Arc::clone(&m.member), self.member_shell(), clock());
        slots
            .once
            .start(Arc::clone(&m.once), self.once_shell(), clock());
        self.feeds.book.push(gs_conf::Event::Start);
        self.feeds.member.push(gs_member::Event::Tick);
        tokio::spawn(poll::run(
            Arc::clone(&self.pool),
            Arc::clone(&self.board),
            self.feeds.engine.clone(),
            self.start.settings.servers.poll,
        ));
    }

    fn engine_shell(&self) -> EngineShell {
        EngineShell {
            pool: Arc::clone(&self.pool),
            pending: Arc::clone(&self.pending),
            board: Arc::clone(&self.board),
            feeds: self.feeds.clone(),
            spread: self.spread.clone(),
            recording: Arc::clone(&self.recording),
        }
    }

    fn book_shell(&self) -> BookShell {
        BookShell {
            calls: self.calls(),
            feeds: self.feeds.clone(),
            spread: self.spread.clone(),
            asks: Arc::clone(&self.asks),
        }
    }

    fn member_shell(&self) -> MemberShell {
        MemberShell {
            calls: self.calls(),
            feeds: self.feeds.clone(),
            spread: self.spread.clone(),
            mesh: Arc::clone(&self.mesh),
            pool: Arc::clone(&self.pool),
            board: Arc::clone(&self.board),
        }
    }

    fn once_shell(&self) -> OnceShell {
        OnceShell {
            calls: self.calls(),
            feeds: self.feeds.clone(),
            spread: self.spread.clone(),
        }
    }

    fn calls(&self) -> Calls {
        Calls(Arc::clone(&self.platform))
    }

    fn follower(&self) -> Follower {
        Follower {
            platform: Arc::clone(&self.platform),
            feeds: self.feeds.clone(),
            board: Arc::clone(&self.board),
            spread: self.spread.clone(),
            seed: self.start.seed,
            wait: self.start.settings.platform.watch_wait,
            book: Arc::clone(&self.machines.book),
        }
    }

    fn desk(&self) -> NodeDesk {
        NodeDesk {
            vm: self.start.vm(),
            incarnation: self.start.incarnation,
            next: AtomicU64::new(1),
            pending: Arc::clone(&self.pending),
            engine: self.feeds.engine.clone(),
            book: Arc::clone(&self.machines.book),
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
            book: Arc::clone(&self.machines.book),
            member: Arc::clone(&self.machines.member),
            once: Arc::clone(&self.machines.once),
            pool: Arc::clone(&self.pool),
            callers,
            board: Arc::clone(&self.board),
            mesh: Arc::clone(&self.mesh),
            platform: Arc::clone(&self.platform),
            spread: self.spread.clone(),
            asked: Asked::default(),
        }
    }

    fn admin(&self, listener: TcpListener, dumps: Arc<Dumps>) -> Result<AdminServer> {
        let fleet = Operators {
            book: Arc::clone(&self.machines.book),
            feed: self.feeds.book.clone(),
            asks: Arc::clone(&self.asks),
            next: AtomicU64::new(1),
            platform: Arc::clone(&self.platform),
            dumps,
            metrics: Arc::clone(&self.metrics),
            clock: Arc::clone(&self.start.clock),
        };
        let options = AdminOptions::builder()
            .addr(self.start.settings.listen.admin)
            .api(Arc::new(fleet))
            .build();
        AdminServer::from_listener(listener, options)
    }
}

impl Machines {
    fn new(start: &Start) -> Result<Self> {
        Ok(Self {
            engine: shared(start.engine()?),
            book: shared(start.book()?),
            member: shared(Membership::new(start.member())?),
            once: shared(Once::new(start.once())?),
        })
    }
}

impl Slots {
    fn feeds(&self) -> Feeds {
        Feeds {
            engine: self.engine.feed(),
            book: self.book.feed(),
            member: self.member.feed(),
            once: self.once.feed(),
        }
    }
}

fn shared<M>(machine: M) -> Shared<M> {
    Arc::new(Mutex::new(machine))
}
