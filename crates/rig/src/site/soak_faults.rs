//! The faults that a soak injects, and the actions that end them.

/// A kind of injected fault.
#[derive(Clone, Copy, Debug, strum::EnumIter, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum Fault {
    VmTerm,
    VmKill,
    VmPause,
    VmReload,
    ServerCrash,
    ServerPause,
    ServerLoses,
    ServerTruncates,
    ServerCrosses,
    ServerSheds,
    ServerFails,
    ServerLinkDelay,
    ServerLinkReset,
    ServerLinkSilent,
    ServerLinkOneWay,
    StoreBusy,
    StoreSilent,
    StoreLost,
    StoreSlow,
    StoreForgets,
    StoreLinkReset,
    StoreLinkSilent,
    StoreLinkOneWay,
    Configure,
}

/// An action that ends a fault.
#[derive(Clone, Copy, Debug)]
pub(super) enum Repair {
    VmContinue(usize),
    VmRestart(usize),
    ServerRestart(usize),
    ServerFaults(usize),
    ServerLink(usize),
    /// Ends the late copies of all servers.
    LateCopies,
    Store,
    /// Restores the store from the oldest copy that was made for it.
    StoreRestore,
    /// Writes again what the restored store has lost.
    StoreRewrite,
    StoreLink(usize),
}
