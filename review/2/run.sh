#!/usr/bin/env bash
# Plays the case of claim.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/bronzerun-edge target/review/standin; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: run the build of deploy/system.toml and review/build.sh" >&2
        exit 2
    fi
done
# TROUBLE=0 plays the same without the disruption.
TROUBLE="${TROUBLE:-1}" exec target/review/standin silent-links review/2
