//! Client of the platform's list of VMs, which lags behind the real state.

use std::net::SocketAddr;
use std::time::Duration;

use carawaybarrow_core::ids::{DataCentreId, RackId, VmId};
use futures::future::BoxFuture;
use http_types::Method;
use serde::{Deserialize, Serialize};

use crate::http_client::{Call, Client};

/// Timeout of a read of the list.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// State of a VM as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedVmState {
    /// The VM is in service.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// An item of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Id of the VM.
    pub vm: VmId,
    /// Address of the worker on the VM.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Rack of the VM.
    pub rack: RackId,
    /// State as listed.
    pub state: ListedVmState,
}

/// Access to the VM list.
pub trait VmList: Send + Sync {
    /// Reads the list; `None` if the platform can't be reached or its answer can't be read.
    fn list(&self) -> BoxFuture<'_, Option<Vec<ListedVm>>>;
}

/// HTTP client of the VM list.
#[derive(Debug)]
pub struct HttpVmList {
    address: SocketAddr,
    client: Client,
}

impl HttpVmList {
    /// Creates a client of the VM list at `address`.
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
