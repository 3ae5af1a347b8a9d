//! The operators' configuration in the form that the platform stores.

use serde_json::Value;
use serde_json::json;

/// A route of a [`SiteConfig`].
#[derive(Clone, Debug)]
pub struct SiteRoute {
    /// Its path prefix, with a slash at both ends.
    pub prefix: String,
    /// Its services: the shards of a fan-out, or the only service.
    pub services: Vec<String>,
    /// The records on a page and the minimum share of shards; `None` for a route to one service.
    pub page: Option<(usize, f64)>,
    /// Whether its requests may run more than once.
    pub is_safe: bool,
    /// The objective in milliseconds.
    pub objective_ms: u64,
    /// The longest time that a request may take, in milliseconds.
    pub timeout_ms: u64,
}

/// The operators' configuration in the form that the platform stores.
#[derive(Clone, Debug)]
pub struct SiteConfig {
    /// Its version.
    pub version: u64,
    /// Its routes.
    pub routes: Vec<SiteRoute>,
}

impl SiteConfig {
    /// Returns the stored object's spec.
    #[must_use]
    pub fn spec(&self) -> Value {
        let mut names: Vec<&String> = self.routes.iter().flat_map(|r| &r.services).collect();
        names.sort();
        names.dedup();
        let services = names.iter().map(|n| {
            json!({ "name": n, "health_path": "/health", "max_conns": 40, "protocol": "h1", "tls": false })
        });
        json!({
            "version": self.version,
            "routes": self.routes.iter().map(route).collect::<Vec<_>>(),
            "backends": services.collect::<Vec<_>>(),
            "limits": {
                "header_bytes": 16384, "body_bytes": 262144,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            },
        })
    }
}

fn route(r: &SiteRoute) -> Value {
    let mut v = json!({
        "name": format!("r-{}", r.prefix.trim_matches('/')),
        "hostname": "site.example", "path_prefix": r.prefix,
        "kind": if r.is_safe { "safe" } else { "unsafe" },
        "timeout_ms": r.timeout_ms, "goal_ms": r.objective_ms, "priority": 1, "max_attempts": 2,
    });
    match r.page {
        Some((top, share)) => {
            v["gather"] = json!(r.services);
            v["top_k"] = json!(top);
            v["min_share"] = json!(share);
        }
        None => v["backend"] = json!(r.services[0]),
    }
    v
}
