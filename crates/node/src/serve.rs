//! Puts a process together from its settings and runs it to its end.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::time::SystemTime;

use gs_admin::Admin;
use gs_admin::AdminOptions;
use gs_clock::Clock;
use gs_clock::SystemClock;
use gs_conf::Book;
use gs_conf::BookOptions;
use gs_http::Callers;
use gs_http::Limits;
use gs_http::Pool;
use gs_http::PoolOptions;
use gs_http::Server;
use gs_member::MemberSettings;
use gs_member::Membership;
use gs_mesh::Mesh;
use gs_mesh::MeshSettings;
use gs_mesh::NngMesh;
use gs_once::Once;
use gs_once::OnceSettings;
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
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::actor::Shared;
use crate::actor::Slot;
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
use crate::poll;
use crate::recording::Recording;
use crate::shutdown;
use crate::shutdown::Leaver;
use crate::spread::Spread;
use crate::watch::Follower;

/// Runs a process until it is told to leave by SIGTERM or SIGINT and has finished its work.
///
/// # Errors
///
/// [`ErrorKind::Io`] if an address cannot be listened on; [`ErrorKind::BadInput`] if a setting does
/// not fit another. Each names the step and the address.
pub async fn serve(settings: Settings) -> Result<()> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let incarnation = incarnation(clock.as_ref());
    let seed = settings.tuning.seed.unwrap_or(incarnation.0);
    let vm = settings.vm.name.clone();
    log::info!("event=start vm={vm} incarnation={incarnation} seed={seed}");

    let callers = listen(settings.listen.callers, "callers").await?;
    let board = Arc::new(Board::default());
    let platform = platform(&settings, seed, &clock);
    let (mesh, received) = mesh(&settings, incarnation)?;
    let spread = Spread::new(Arc::clone(&mesh), Arc::clone(&board));
    let calls = Calls(Arc::clone(&platform));

    let (engine_slot, book_slot, member_slot, once_slot) =
        (Slot::new(), Slot::new(), Slot::new(), Slot::new());
    let feeds = Feeds {
        engine: engine_slot.feed(),
        book: book_slot.feed(),
        member: member_slot.feed(),
        once: once_slot.feed(),
    };

    let pool = Arc::new(Pool::new(
        PoolOptions::builder()
            .maybe_source(settings.source.ip)
            .connect_timeout(settings.servers.connect_timeout)
            .build(),
        Arc::new(EngineSink(feeds.engine.clone())),
    ));
    let pending = Arc::new(Pending::default());
    let asks = Arc::new(Asks::default());
    let engine = shared(engine(&settings, incarnation, seed)?);
    let book = shared(book(&settings, incarnation, seed)?);
    let member = shared(Membership::new(member_settings(
        &settings,
        incarnation,
        seed,
    ))?);
    let once = shared(Once::new(once_settings(&settings, incarnation))?);

    let recording = Arc::new(recording(&settings, incarnation, seed, clock.as_ref())?);
    engine_slot.start(
        Arc::clone(&engine),
        EngineShell {
            pool: Arc::clone(&pool),
            pending: Arc::clone(&pending),
            board: Arc::clone(&board),
            feeds: feeds.clone(),
            spread: spread.clone(),
            recording: Arc::clone(&recording),
        },
        Arc::clone(&clock),
    );
    book_slot.start(
        Arc::clone(&book),
        BookShell {
            calls: calls.clone(),
            feeds: feeds.clone(),
            spread: spread.clone(),
            asks: Arc::clone(&asks),
        },
        Arc::clone(&clock),
    );
    member_slot.start(
        Arc::clone(&member),
        MemberShell {
            calls: calls.clone(),
            feeds: feeds.clone(),
            spread: spread.clone(),
            mesh: Arc::clone(&mesh),
            pool: Arc::clone(&pool),
            board: Arc::clone(&board),
        },
        Arc::clone(&clock),
    );
    once_slot.start(
        Arc::clone(&once),
        OnceShell {
            calls,
            feeds: feeds.clone(),
            spread: spread.clone(),
        },
        Arc::clone(&clock),
    );
    feeds.book.push(gs_conf::Event::Start);
    feeds.member.push(gs_member::Event::Tick);

    let follower = Follower {
        platform: Arc::clone(&platform),
        feeds: feeds.clone(),
        board: Arc::clone(&board),
        spread: spread.clone(),
        seed,
        wait: settings.platform.watch_wait,
    };
    let metrics = Arc::new(Metrics::new(&Vm {
        name: &settings.vm.name,
        data_centre: &settings.vm.data_centre,
    })?);
    let desk = NodeDesk {
        vm: vm.clone(),
        incarnation,
        next: AtomicU64::new(1),
        pending,
        engine: feeds.engine.clone(),
        book: Arc::clone(&book),
        metrics: Arc::clone(&metrics),
        clock: Arc::clone(&clock),
    };
    let server = Server::new(callers, caller_limits(&settings));
    let callers_state = server.state();
    let dumps = Arc::new(Dumps {
        settings: serde_json::to_value(&settings).unwrap_or_default(),
        incarnation,
        clock: Arc::clone(&clock),
        engine: Arc::clone(&engine),
        book: Arc::clone(&book),
        member,
        once,
        pool: Arc::clone(&pool),
        callers: Arc::clone(&callers_state),
        board: Arc::clone(&board),
        mesh,
        platform: Arc::clone(&platform),
        spread,
        asked: Asked::default(),
    });
    follower.clone().start();
    tokio::spawn(inbox::run(received, follower, Arc::clone(&dumps)));
    tokio::spawn(poll::run(
        Arc::clone(&pool),
        Arc::clone(&board),
        feeds.engine.clone(),
        settings.servers.poll,
    ));
    let fleet = Operators {
        book,
        feed: feeds.book.clone(),
        asks,
        next: AtomicU64::new(1),
        platform,
        dumps,
        metrics,
        clock: Arc::clone(&clock),
    };
    let admin = Admin::start(
        AdminOptions::builder()
            .addr(settings.listen.admin)
            .fleet(Arc::new(fleet))
            .build(),
    )
    .await?;

    let (stop, stopped) = watch::channel(false);
    let body = usize::try_from(settings.callers.body.0).unwrap_or(usize::MAX);
    let handler = Callers::new(Arc::new(desk), body, settings.callers.body_timeout);
    let serving = tokio::spawn(server.run(Arc::new(handler), stopped));

    shutdown::told().await?;
    let leaver = Leaver {
        cfg: settings.shutdown.clone(),
        clock,
        board,
        feeds,
        engine,
        pool,
        callers: callers_state,
        stop,
        serving,
    };
    leaver.leave().await;
    admin.stop().await;
    recording.finish();
    log::info!("event=exit vm={vm} incarnation={incarnation}");
    Ok(())
}

fn shared<M>(machine: M) -> Shared<M> {
    Arc::new(Mutex::new(machine))
}

/// The run of this process: the time of day at its start, which no earlier run had.
fn incarnation(clock: &dyn Clock) -> Incarnation {
    let since = clock
        .wall()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

async fn listen(addr: std::net::SocketAddr, whom: &str) -> Result<TcpListener> {
    TcpListener::bind(addr).await.map_err(|e| {
        Error::new(ErrorKind::Io, e.to_string())
            .at(format!("listen for {whom}"))
            .from_peer(addr.to_string())
            .with_hint("check that the address is this VM's and that no other process uses it")
    })
}

fn platform(s: &Settings, seed: u64, clock: &Arc<dyn Clock>) -> Arc<dyn Platform> {
    let options = HttpPlatformOptions::builder()
        .addr(s.platform.addr)
        .maybe_source(s.source.ip)
        .seed(seed)
        .clock(Arc::clone(clock))
        .timeout(s.platform.timeout)
        .build();
    Arc::new(HttpPlatform::new(options))
}

type Inbox = tokio::sync::mpsc::Receiver<gs_mesh::Received<Message>>;

fn mesh(s: &Settings, incarnation: Incarnation) -> Result<(Arc<dyn Mesh<Message>>, Inbox)> {
    let cfg = MeshSettings::builder()
        .vm(s.vm.name.clone())
        .incarnation(incarnation)
        .listen(s.listen.mesh)
        .maybe_source(s.source.ip)
        .secret(gs_mesh::Secret::new(s.mesh.secret.expose())?)
        .build();
    let (mesh, rx) = NngMesh::start(cfg)?;
    Ok((Arc::new(mesh), rx))
}

fn engine_options(s: &Settings) -> EngineOptions {
    EngineOptions {
        policy: match s.tuning.policy {
            Policy::Chosen => PolicyName::Chosen,
            Policy::Baseline => PolicyName::Baseline,
        },
        lookups_max: s.callers.in_flight,
        ..EngineOptions::default()
    }
}

fn engine(s: &Settings, incarnation: Incarnation, seed: u64) -> Result<Engine> {
    Engine::builder()
        .vm(s.vm.name.clone())
        .incarnation(incarnation)
        .data_centre(s.vm.data_centre.clone())
        .seed(seed)
        .options(engine_options(s))
        .build()
}

fn recording(
    s: &Settings,
    incarnation: Incarnation,
    seed: u64,
    clock: &dyn Clock,
) -> Result<Recording> {
    let Some(file) = &s.record.file else {
        return Ok(Recording::default());
    };
    let header = Header::builder()
        .vm(s.vm.name.clone())
        .incarnation(incarnation)
        .data_centre(s.vm.data_centre.clone())
        .seed(seed)
        .options(engine_options(s))
        .build();
    Recording::start(file, &header, clock.now())
}

fn book(s: &Settings, incarnation: Incarnation, seed: u64) -> Result<Book> {
    let options = BookOptions::builder()
        .vm(s.vm.name.clone())
        .incarnation(incarnation)
        .seed(seed)
        .build();
    Book::new(options)
}

fn member_settings(s: &Settings, incarnation: Incarnation, seed: u64) -> MemberSettings {
    let me = gs_member::VmEntry {
        vm: s.vm.name.clone(),
        data_centre: s.vm.data_centre.clone(),
        region: s.vm.region.clone(),
        mesh: s.listen.mesh,
        callers: s.listen.callers,
        admin: s.listen.admin,
        leaving: false,
    };
    MemberSettings::builder()
        .me(me)
        .incarnation(incarnation)
        .seed(seed)
        .period(s.mesh.heartbeat)
        .build()
}

fn once_settings(s: &Settings, incarnation: Incarnation) -> OnceSettings {
    OnceSettings::builder()
        .vm(s.vm.name.clone())
        .incarnation(incarnation)
        .window(s.claims.window)
        .skew(s.claims.skew)
        .build()
}

fn caller_limits(s: &Settings) -> Limits {
    Limits {
        headers: usize::try_from(s.callers.headers.0).unwrap_or(usize::MAX),
        header_timeout: s.callers.header_timeout,
        connections: s.callers.connections.0 as usize,
    }
}
