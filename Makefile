CONFIG ?= examples/config.json
SEED ?= 1

SEEDS ?= 50
# The number of seeds of a proof, where SEEDS is given.
PROOF_RUNS = $(if $(filter file,$(origin SEEDS)),,--runs $(SEEDS))

# Threads of the leadership proof.
PROOF_THREADS ?= 2

.PHONY: build test demo lint run toy ci prove-leadership prove-tuf soak soak-leaving soak-crowd crowd-memory soak-planted

build:
	cargo build --release --locked

# All tests of all packages.
test:
	cargo test --workspace --locked

# The main job on this machine: a toy world, a sidecar, traffic, a trial and its vote. Stops by itself.
demo: build
	cargo run --release --locked --example demo

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	target/release/stagepond serve --config $(CONFIG)

toy:
	cargo run --locked --example toy

# Seeds on a virtual clock, planted faults, three real processes; SEED=n moves every seed, SEEDS=n sets their number.
# One model check searches for a fixed time, so its memory grows with the threads: 9 GB with 2.
prove-leadership:
	cargo build --release --locked -p stagepond-lab
	SEED=$(SEED) target/release/stagepond-lab prove-leadership --threads $(PROOF_THREADS) $(PROOF_RUNS)

# Attacks on metadata, singly and in pairs; SEED=n moves every seed.
prove-tuf:
	cargo build --release --locked -p stagepond-lab
	SEED=$(SEED) target/release/stagepond-lab prove-tuf

# Planned restarts under load, with real processes; SEED=n is the first seed, SEEDS=n the number of runs.
soak:
	cargo build --release --locked -p stagepond-sidecar -p stagepond-lab
	SEED=$(SEED) SEEDS=$(SEEDS) target/release/stagepond-lab soak

# The same with clients that leave before their answers, and tight limits.
soak-leaving:
	cargo build --release --locked -p stagepond-sidecar -p stagepond-lab
	SEED=$(SEED) SEEDS=$(SEEDS) target/release/stagepond-lab soak --kind leaving

# The same with a crowd of bad clients in half of the runs.
soak-crowd:
	cargo build --release --locked -p stagepond-sidecar -p stagepond-lab
	SEED=$(SEED) SEEDS=$(SEEDS) target/release/stagepond-lab soak --kind crowd

# The peak memory of a sidecar with the least memory under crowds of clients of several forms.
crowd-memory:
	cargo build --release --locked -p stagepond-sidecar -p stagepond-lab
	for forms in whole half-body,whole many-fields,long-head,whole unread-answers,whole; do \
		target/release/stagepond-lab measure-memory --forms $$forms || exit 1; \
	done

# The soak on a build with a planted fault, in which it must find it.
soak-planted:
	cargo build --release --locked -p stagepond-lab
	cargo build --release --locked -p stagepond-sidecar --features planted --target-dir target/planted
	! STAGEPOND_PLANTED=CloseAtOnce SEED=$(SEED) SEEDS=4 target/release/stagepond-lab soak \
		--program target/planted/release/stagepond

ci:
	bash .ci/run
