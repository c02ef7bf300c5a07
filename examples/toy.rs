//! Local mock environment for trying one sidecar by hand: three pods, discovery and the platform on this
//! machine. Five seconds after the sidecar connects, the trial of a new build starts. See the README of this
//! folder.

mod local_environment;
mod mock_server;

use std::time::Duration;

const POD_ADDRESSES: [&str; 4] = ["127.0.0.1:9001", "127.0.0.1:9002", "127.0.0.1:9003", "127.0.0.1:9004"];
const DISCOVERY_ADDRESS: &str = "127.0.0.1:8500";
const PLATFORM_ADDRESS: &str = "127.0.0.1:6400";
const TRIAL_DELAY: Duration = Duration::from_secs(5);

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let environment = local_environment::LocalEnvironment::start(
        &POD_ADDRESSES,
        DISCOVERY_ADDRESS,
        PLATFORM_ADDRESS,
        TRIAL_DELAY,
    )
    .await;
    println!(
        "toy: pods at {:?}, discovery at {}, platform at {}",
        environment.pods, environment.discovery, environment.platform
    );
    std::future::pending().await
}
