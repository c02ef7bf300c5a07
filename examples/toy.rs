//! A toy world for one sidecar: three pods, discovery and the platform on this machine, and after a few
//! seconds a new build to judge. For trying stagepond by hand; see the README of this folder.

mod standins;
mod world;

use std::time::Duration;

const PODS: [&str; 4] = ["127.0.0.1:9001", "127.0.0.1:9002", "127.0.0.1:9003", "127.0.0.1:9004"];

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let after = Duration::from_secs(5);
    let world = world::World::start(&PODS, "127.0.0.1:8500", "127.0.0.1:6400", after).await;
    println!(
        "toy: pods at {:?}, discovery at {}, platform at {}",
        world.pods, world.discovery, world.platform
    );
    std::future::pending().await
}
