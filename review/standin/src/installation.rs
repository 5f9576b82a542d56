//! Entries that run the program of the deploy file, with the settings of a small deployment.

use std::fs::{self, File};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_standin::caller::{Answer, Caller, Job};
use carawaybarrow_standin::settings::{CALLERS_PORT, PATH_VARIABLE, entry_settings};

use crate::Failure;

/// Program and argument of the deploy file, in the root of the repository.
const PROGRAM: &str = "target/release/carawaybarrow";
const ROLE: &str = "node";

/// Time in which a new installation has to accept a job.
const START_LIMIT: Duration = Duration::from_secs(15);

const ENTRIES: u8 = 3;

/// Processes of an installation, which end with it.
pub struct Installation {
    /// Addresses for callers.
    pub entries: Vec<SocketAddr>,
    children: Vec<Child>,
    folder: PathBuf,
}

impl Installation {
    /// Starts the entries. `vm_api` is the address of the VM API, if there is one.
    pub fn start(store: SocketAddr, vm_api: Option<SocketAddr>) -> Result<Self, Failure> {
        if !Path::new(PROGRAM).exists() {
            return Err(format!("{PROGRAM} is not built").into());
        }
        let folder = std::env::temp_dir().join(format!("review-standin-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut installation = Self { entries: Vec::new(), children: Vec::new(), folder };
        let network = free_network()?;
        for index in 0..ENTRIES {
            let ip = address_in(network, index);
            let mut text = entry_settings(&format!("e{index}"), ip, store, 0.25);
            if let Some(address) = vm_api {
                text.push_str(&format!(
                    "[cloud-api]\naddress = \"{address}\"\nrate-per-s = 64.0\nduties = []\nduty-per-s = 64.0\n"
                ));
            }
            let settings = installation.folder.join(format!("e{index}.toml"));
            fs::write(&settings, text)?;
            let log = File::create(installation.folder.join(format!("e{index}.log")))?;
            let child = Command::new(PROGRAM)
                .arg(ROLE)
                .env(PATH_VARIABLE, &settings)
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log)
                .spawn()?;
            installation.children.push(child);
            installation.entries.push(SocketAddr::new(ip, CALLERS_PORT));
        }
        Ok(installation)
    }

    /// Waits until an entry accepts a job that ends at once.
    pub async fn await_start(&self, caller: &Caller) -> Result<(), Failure> {
        let job = Job { id: "00000000000000aa".to_owned(), steps: vec![1], run_time_ms: Some(50) };
        let deadline = Instant::now() + START_LIMIT;
        while Instant::now() < deadline {
            if let Answer::Yes(_) = caller.submit(self.entries[0], &job).await {
                return Ok(());
            }
            task::sleep(Duration::from_millis(100)).await;
        }
        Err("no entry accepts a job".into())
    }
}

impl Drop for Installation {
    fn drop(&mut self) {
        for child in &mut self.children {
            // An error means that the process has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_some() {
            eprintln!("logs in {}", self.folder.display());
        } else {
            // An error leaves only a temporary folder behind.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn address_in((second, third): (u8, u8), index: u8) -> IpAddr {
    IpAddr::from([127, second, third, 10 + index])
}

/// Finds a part of the loopback network whose addresses for callers are free.
fn free_network() -> Result<(u8, u8), Failure> {
    let start = std::process::id();
    for offset in 0..200 {
        let number = start.wrapping_add(offset * 7);
        let network = (30 + (number % 190) as u8, 1 + (number / 190 % 250) as u8);
        let is_free = |index| TcpListener::bind(SocketAddr::new(address_in(network, index), CALLERS_PORT)).is_ok();
        if (0..ENTRIES).all(is_free) {
            return Ok(network);
        }
    }
    Err("no free loopback addresses".into())
}
