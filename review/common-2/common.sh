# Runs the test program of a case; sourced by run.sh. The program is built by review/build-2.sh.
set -u
CASE_DIR=$(cd "$(dirname "$0")" && pwd)
ROOT_DIR=$(cd "$CASE_DIR/../.." && pwd)
program=$ROOT_DIR/target/review-2/case$(basename "$CASE_DIR")
[ -x "$program" ] || { echo "no $program: run review/build-2.sh first"; exit 2; }
[ -x "$ROOT_DIR/target/release/stagepond" ] || { echo "no target/release/stagepond: build it by the deploy file"; exit 2; }
CASE_TMP=$(mktemp -d) || exit 2
TROUBLE=${TROUBLE:-1}
export CASE_DIR ROOT_DIR CASE_TMP TROUBLE
pid=
clean() { [ -z "$pid" ] || kill -KILL "$pid" 2>/dev/null; rm -rf "$CASE_TMP"; }
trap clean EXIT
trap 'exit 2' INT TERM
"$program" &
pid=$!
wait "$pid"
code=$?
pid=
case $code in 0 | 1 | 2) exit "$code" ;; *) exit 2 ;; esac
