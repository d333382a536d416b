#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. Exits with 1 if the rule was broken, 0 if it held
# and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fireflypathd ] && [ -x target/review-lab ] || exit 2
timeout -k 3 115 target/review-lab surge review/6
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
