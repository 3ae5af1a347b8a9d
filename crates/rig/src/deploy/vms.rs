//! The addresses and settings files of a deployment's entry VMs.

use std::fmt::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;

use gs_types::prelude::*;

use super::shape::Shape;
use crate::net::Net;
use crate::net::SiteNumber;

/// The host number of the first VM in each data centre.
const FIRST_VM_HOST: u8 = 10;

/// The ports tried, below the range that the system uses for outgoing connections.
const PORT_RANGE: std::ops::Range<u16> = 10_000..30_000;

/// The name, data centre and addresses of one entry VM.
#[derive(Clone, Debug)]
pub struct VmPlan {
    /// Its name.
    pub name: VmId,
    /// Its data centre's number.
    pub site: SiteNumber,
    /// Its data centre's name.
    pub data_centre: &'static str,
    /// Its region.
    pub region: &'static str,
    /// Its only IP address, also the source of its connections.
    pub ip: Ipv4Addr,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
    /// The address for the other VMs.
    pub mesh: SocketAddr,
}

/// Plans the VMs of a deployment, with currently free ports.
///
/// # Errors
///
/// If no port is free.
pub fn plan_vms(shape: &Shape, net: &Net) -> Result<Vec<VmPlan>> {
    let mut out = Vec::new();
    for site in 1..=3 {
        for n in 0..shape.vms_per_site {
            out.push(plan(shape, net, site, n)?);
        }
    }
    Ok(out)
}

fn plan(shape: &Shape, net: &Net, site: SiteNumber, n: u8) -> Result<VmPlan> {
    let ip = net.ip(site, FIRST_VM_HOST + n);
    let port = |excluded: &[u16]| free_port(ip, excluded).map(|p| SocketAddr::from((ip, p)));
    let callers = port(&[])?;
    let admin = port(&[callers.port()])?;
    let mesh = port(&[callers.port(), admin.port()])?;
    let data_centre = shape.data_centre(site);
    Ok(VmPlan {
        name: format!("{data_centre}-{n}").parse()?,
        site,
        data_centre,
        region: shape.region,
        ip,
        callers,
        admin,
        mesh,
    })
}

/// Returns a currently free port of an address, other than the excluded ones.
///
/// # Errors
///
/// If none is free.
pub fn free_port(ip: Ipv4Addr, excluded: &[u16]) -> Result<u16> {
    PORT_RANGE
        .filter(|p| !excluded.contains(p))
        .find(|p| TcpListener::bind((ip, *p)).is_ok())
        .ok_or_else(|| Error::new(ErrorKind::Unavailable, "no free port").from_peer(ip.to_string()))
}

impl VmPlan {
    /// Returns the text of its settings file, with `more` appended.
    #[must_use]
    pub fn settings(&self, platform: SocketAddr, secret_file: &Path, more: &str) -> String {
        let mut out = String::new();
        // Writing to a `String` cannot fail.
        let _ = write!(
            out,
            r#"[vm]
name = "{name}"
data-centre = "{data_centre}"
region = "{region}"

[listen]
callers = "{callers}"
admin = "{admin}"
mesh = "{mesh}"

[source]
ip = "{ip}"

[platform]
addr = "{platform}"

[mesh]
secret-file = "{secret}"

{more}"#,
            name = self.name,
            data_centre = self.data_centre,
            region = self.region,
            callers = self.callers,
            admin = self.admin,
            mesh = self.mesh,
            ip = self.ip,
            secret = secret_file.display(),
        );
        out
    }
}
