#!/usr/bin/env bash
# Plays a scripted case: play.sh CASE NUMBER. Ends every process that it started, also when it is
# stopped itself or the case takes too long.
cd "$(dirname "$0")/.." || exit 2
for program in target/release/bronzerun-edge target/review/standin; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: run the build of deploy/system.toml and review/build.sh" >&2
        exit 2
    fi
done
export TROUBLE="${TROUBLE:-1}"
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
# A process group of its own, which the daemons share.
set -m
target/review/standin "$1" "review/$2" &
group=$!
(sleep 118; kill -KILL -- "-$group") 2>/dev/null &
watchdog=$!
disown "$watchdog"
set +m
end_all() {
    kill -KILL -- "-$group" "-$watchdog" 2>/dev/null
    rm -rf "$TMPDIR"
}
trap end_all EXIT
trap 'exit 2' INT TERM HUP
wait "$group"
code=$?
# Any other code is a signal or a crash of the stand-in.
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
