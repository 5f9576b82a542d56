//! The platform's lagging list of VMs.

use std::net::SocketAddr;
use std::time::Duration;

use carawaybarrow_core::ids::{DataCentreId, RackId, VmId};
use futures::future::BoxFuture;
use http_types::Method;
use serde::{Deserialize, Serialize};

use crate::http_client::{Call, Client};

/// Time for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// State of a VM as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In service.
    Live,
    /// About to go.
    Leaving,
}

/// A listed VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// VM.
    pub vm: VmId,
    /// Address of its worker.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Rack.
    pub rack: RackId,
    /// State.
    pub state: VmState,
}

/// The VM list as this process uses it.
pub trait VmList: Send + Sync {
    /// Reads the list; `None` if it can't be read.
    fn list(&self) -> BoxFuture<'_, Option<Vec<ListedVm>>>;
}

/// Client of a VM list that speaks HTTP.
#[derive(Debug)]
pub struct HttpVmList {
    address: SocketAddr,
    client: Client,
}

impl HttpVmList {
    /// Creates a client.
    #[must_use]
    pub const fn new(address: SocketAddr, client: Client) -> Self {
        Self { address, client }
    }
}

impl VmList for HttpVmList {
    fn list(&self) -> BoxFuture<'_, Option<Vec<ListedVm>>> {
        Box::pin(async move {
            let reply = self.client.call(self.address, &Call::new(Method::Get, "/vms"), CALL_TIMEOUT).await.ok()?;
            reply.json().ok()
        })
    }
}
