#!/usr/bin/env bash
# Plays the case of claim.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays the same without the disruption.
exec "$(dirname "$0")/../play.sh" begun-answer 4
