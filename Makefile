CONFIG ?= examples/config.json

.PHONY: build test lint run toy ci

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	target/release/stagepond serve --config $(CONFIG)

toy:
	cargo run --locked --example toy

ci:
	bash .ci/run
