//! The sizes, delays and lookups of each deployment.

use std::time::Duration;

use gs_types::prelude::*;

use crate::net::SiteNumber;
use crate::server::ServerSpec;

/// The data centres, groups and lookups of a deployment.
#[derive(Clone, Debug)]
pub struct Shape {
    /// The front's name.
    pub front: &'static str,
    /// The region's name.
    pub region: &'static str,
    /// The names of the data centres; the first is site 1.
    pub data_centres: [&'static str; 3],
    /// The one-way delay between two data centres.
    pub between: Duration,
    /// The one-way delay to callers.
    pub to_callers: Duration,
    /// The number of entry VMs in each data centre.
    pub vms_per_site: u8,
    /// The groups of services.
    pub groups: Vec<GroupShape>,
    /// The lookups of the front.
    pub lookups: Vec<LookupShape>,
}

/// A group of services that together hold one index.
#[derive(Clone, Debug)]
pub struct GroupShape {
    /// Its name.
    pub name: &'static str,
    /// The number of its services; each has one shard in the first snapshot.
    pub services: u32,
    /// The number of servers of each service.
    pub replicas: u32,
    /// The number of lookups that a server runs concurrently.
    pub slots: u32,
    /// The maximum number of connections of a server.
    pub connections: u32,
    /// The delay of a new connection before its first request is read.
    pub handshake: Duration,
}

/// A lookup of the front and its share of the load.
#[derive(Clone, Debug)]
pub struct LookupShape {
    /// Its name.
    pub name: &'static str,
    /// The group that it queries.
    pub group: &'static str,
    /// Which shards it queries.
    pub scope: Scope,
    /// The guarantee of its answers.
    pub promise: Promise,
    /// Its deadline.
    pub deadline: Duration,
    /// The maximum number of hits on a page.
    pub page: u32,
    /// The number of hits that allows an early end.
    pub enough_at: Option<u32>,
    /// Its weight among the arrivals, relative to the other lookups.
    pub weight: u32,
}

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

impl GroupShape {
    /// Returns a group whose shards are all queried by each lookup.
    const fn scatter(name: &'static str, services: u32) -> Self {
        Self {
            name,
            services,
            replicas: 2,
            slots: 2,
            connections: 25,
            handshake: ms(6),
        }
    }

    /// Returns a group of one service.
    const fn keyed(name: &'static str, replicas: u32, connections: u32) -> Self {
        Self {
            name,
            services: 1,
            replicas,
            slots: 3,
            connections,
            handshake: ms(1),
        }
    }

    /// Returns the servers of the group; replica `r` of service `i` is in data centre `(i + r) mod 3`.
    ///
    /// # Errors
    ///
    /// If the names do not fit the rules for names.
    pub fn servers(&self, service_time: Duration, seed: u64) -> Result<Vec<ServerSpec>> {
        let mut out = Vec::new();
        for i in 0..self.services {
            for r in 0..self.replicas {
                out.push(self.server(i, r, service_time, seed)?);
            }
        }
        Ok(out)
    }

    fn server(&self, i: u32, r: u32, service_time: Duration, seed: u64) -> Result<ServerSpec> {
        let site = SiteNumber::try_from((i + r) % 3).unwrap_or(0) + 1;
        Ok(ServerSpec::builder()
            .name(format!("{}-{i}-{r}", self.name).parse()?)
            .group(self.name.parse()?)
            .service(format!("{}-{i}", self.name).parse()?)
            .service_index(i)
            .services(self.services)
            .site(site)
            .slots(self.slots)
            .connections(self.connections)
            .handshake(self.handshake)
            .service_time(service_time)
            .cold(Duration::from_secs(2))
            .seed(seed)
            .build())
    }
}

impl LookupShape {
    /// Returns a lookup over every shard.
    const fn scatter(name: &'static str, group: &'static str, promise: Promise) -> Self {
        Self {
            name,
            group,
            scope: Scope::Scatter,
            promise,
            deadline: ms(400),
            page: 10,
            enough_at: None,
            weight: 4,
        }
    }

    /// Returns a lookup in one book.
    const fn keyed(name: &'static str, group: &'static str, promise: Promise) -> Self {
        Self {
            name,
            group,
            scope: Scope::Keyed,
            promise,
            deadline: ms(400),
            page: 10,
            enough_at: None,
            weight: 1,
        }
    }
}

impl Shape {
    /// Returns the deployment Derwent Quill: quotes, placements, readers and renewals.
    #[must_use]
    pub fn derwent_quill() -> Self {
        Self {
            front: "newsletter-archive",
            region: "tasmania",
            data_centres: ["hobart-a", "launceston-a", "burnie-a"],
            between: ms(3),
            to_callers: ms(1),
            vms_per_site: 3,
            groups: vec![
                GroupShape::scatter("bulletin-desk", 20),
                GroupShape::scatter("ad-ledger", 30),
                GroupShape::keyed("subs-office", 7, 100),
                GroupShape::keyed("mailout", 3, 100),
            ],
            lookups: vec![
                LookupShape::scatter("quote", "bulletin-desk", Promise::Urgent),
                LookupShape::scatter("placement", "ad-ledger", Promise::Complete),
                LookupShape::keyed("reader", "subs-office", Promise::Urgent),
                LookupShape::keyed("renewal", "mailout", Promise::AtMostOnce),
            ],
        }
    }

    /// Returns the deployment Lankapura: counter, statement, audit, book and levy lookups.
    #[must_use]
    pub fn lankapura() -> Self {
        let counter = LookupShape {
            enough_at: Some(5),
            page: 5,
            ..LookupShape::scatter("counter", "statement-desk", Promise::Urgent)
        };
        let audit = LookupShape {
            page: 50,
            ..LookupShape::scatter("audit", "bulletin-press", Promise::Complete)
        };
        Self {
            front: "lankapura-ledger",
            region: "lankapura",
            data_centres: ["colombo-a", "kandy-a", "galle-a"],
            between: ms(5),
            to_callers: ms(1),
            vms_per_site: 3,
            groups: vec![
                GroupShape::scatter("statement-desk", 20),
                GroupShape::scatter("bulletin-press", 30),
                GroupShape::keyed("filing-desk", 5, 40),
                GroupShape::keyed("levy-register", 3, 40),
            ],
            lookups: vec![
                counter,
                LookupShape::scatter("statement", "statement-desk", Promise::Complete),
                audit,
                LookupShape::keyed("book", "filing-desk", Promise::Urgent),
                LookupShape::keyed("levy", "levy-register", Promise::AtMostOnce),
            ],
        }
    }

    /// Returns a deployment small enough for process tests: three VMs, four shards of two replicas.
    #[must_use]
    pub fn tiny() -> Self {
        Self {
            between: ms(1),
            to_callers: Duration::ZERO,
            vms_per_site: 1,
            groups: vec![
                GroupShape::scatter("bulletin-desk", 4),
                GroupShape::keyed("subs-office", 3, 100),
                GroupShape::keyed("mailout", 3, 100),
            ],
            lookups: vec![
                LookupShape {
                    deadline: Duration::from_secs(2),
                    ..LookupShape::scatter("quote", "bulletin-desk", Promise::Urgent)
                },
                LookupShape {
                    deadline: Duration::from_secs(5),
                    ..LookupShape::scatter("placement", "bulletin-desk", Promise::Complete)
                },
                LookupShape {
                    deadline: Duration::from_secs(2),
                    ..LookupShape::keyed("reader", "subs-office", Promise::Urgent)
                },
                LookupShape {
                    deadline: Duration::from_secs(5),
                    ..LookupShape::keyed("renewal", "mailout", Promise::AtMostOnce)
                },
            ],
            ..Self::derwent_quill()
        }
    }

    /// Returns a lookup by name.
    #[must_use]
    pub fn lookup(&self, name: &str) -> Option<&LookupShape> {
        self.lookups.iter().find(|l| l.name == name)
    }

    /// Returns a group by name.
    #[must_use]
    pub fn group(&self, name: &str) -> Option<&GroupShape> {
        self.groups.iter().find(|g| g.name == name)
    }

    /// Returns the name of a data centre.
    #[must_use]
    pub fn data_centre(&self, site: SiteNumber) -> &'static str {
        self.data_centres[usize::from(site.saturating_sub(1)) % self.data_centres.len()]
    }

    /// Returns every server of the deployment.
    ///
    /// # Errors
    ///
    /// If the names do not fit the rules for names.
    pub fn servers(&self, service_time: Duration, seed: u64) -> Result<Vec<ServerSpec>> {
        let mut out = Vec::new();
        for g in &self.groups {
            out.extend(g.servers(service_time, seed)?);
        }
        Ok(out)
    }
}
