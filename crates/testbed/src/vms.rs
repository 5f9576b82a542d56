//! Stand-in for the platform's VM list, which lags behind the actual state.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_std::io;
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol_str::SmolStr;

use crate::http;

/// State of a listed VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is in use.
    #[default]
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// A listed VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Name of the VM.
    pub vm: SmolStr,
    /// Address of its worker.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: SmolStr,
    /// Rack of the VM.
    pub rack: SmolStr,
    /// State; `live` if absent.
    #[serde(default)]
    pub state: VmState,
}

#[derive(Debug)]
enum Change {
    Put(Vm),
    SetState(SmolStr, VmState),
    Remove(SmolStr),
}

#[derive(Debug, Default)]
struct VmList {
    visible: BTreeMap<SmolStr, Vm>,
    pending: VecDeque<(Instant, Change)>,
    lag: Duration,
    is_down: bool,
}

impl VmList {
    fn apply_due(&mut self, now: Instant) {
        while self.pending.front().is_some_and(|(at, _)| *at + self.lag <= now) {
            let Some((_, change)) = self.pending.pop_front() else { return };
            match change {
                Change::Put(vm) => {
                    self.visible.insert(vm.vm.clone(), vm);
                }
                Change::SetState(vm, state) => {
                    if let Some(vm) = self.visible.get_mut(&vm) {
                        vm.state = state;
                    }
                }
                Change::Remove(vm) => {
                    self.visible.remove(&vm);
                }
            }
        }
    }

    fn queue_change(&mut self, change: Change) {
        self.pending.push_back((Instant::now(), change));
    }
}

type SharedList = Arc<Mutex<VmList>>;
type Request = tide::Request<SharedList>;

fn lock_list(req: &Request) -> MutexGuard<'_, VmList> {
    req.state().lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a VM list and returns its address. The initial VMs are visible at once, changes after the lag.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn start(addr: SocketAddr, initial: Vec<Vm>, lag: Duration) -> io::Result<SocketAddr> {
    let visible = initial.into_iter().map(|vm| (vm.vm.clone(), vm)).collect();
    let list = VmList { visible, lag, ..VmList::default() };
    let mut app = tide::with_state(Arc::new(Mutex::new(list)));
    app.with(tide::utils::After(http::add_error_body));
    app.at("/vms").get(show_vms);
    app.at("/control/vms").post(put_vms);
    app.at("/control/vms/:vm").delete(remove_vm);
    app.at("/control/vms/:vm/state").post(set_state);
    app.at("/control/lag").post(set_lag);
    app.at("/control/outage").post(set_outage).delete(clear_outage);
    http::start(addr, app, None).await
}

async fn show_vms(req: Request) -> tide::Result {
    let vms: Vec<Vm> = {
        let mut list = lock_list(&req);
        if list.is_down {
            return http::reply_json(503, &json!({ "reason": "outage" }));
        }
        list.apply_due(Instant::now());
        list.visible.values().cloned().collect()
    };
    http::reply_json(200, &vms)
}

async fn put_vms(mut req: Request) -> tide::Result {
    let vms: Vec<Vm> = http::read_json(&mut req).await?;
    let mut list = lock_list(&req);
    for vm in vms {
        list.queue_change(Change::Put(vm));
    }
    http::reply_json(200, &json!({}))
}

async fn remove_vm(req: Request) -> tide::Result {
    let vm = SmolStr::new(req.param("vm")?);
    lock_list(&req).queue_change(Change::Remove(vm));
    http::reply_json(200, &json!({}))
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NewState {
    state: VmState,
}

async fn set_state(mut req: Request) -> tide::Result {
    let NewState { state } = http::read_json(&mut req).await?;
    let vm = SmolStr::new(req.param("vm")?);
    lock_list(&req).queue_change(Change::SetState(vm, state));
    http::reply_json(200, &json!({}))
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Lag {
    ms: u64,
}

async fn set_lag(mut req: Request) -> tide::Result {
    let Lag { ms } = http::read_json(&mut req).await?;
    lock_list(&req).lag = Duration::from_millis(ms);
    http::reply_json(200, &json!({}))
}

async fn set_outage(req: Request) -> tide::Result {
    lock_list(&req).is_down = true;
    http::reply_json(200, &json!({}))
}

async fn clear_outage(req: Request) -> tide::Result {
    lock_list(&req).is_down = false;
    http::reply_json(200, &json!({}))
}
