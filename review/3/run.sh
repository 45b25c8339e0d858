#!/usr/bin/env bash
# Plays the case; 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/standin leave-at-stop review/3
