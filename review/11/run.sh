#!/usr/bin/env bash
# Plays the case and writes what was sent, answered and run to record.txt in this folder; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/standin3 ] || [ ! -x target/bergamothollow ]; then
  echo "run the build of the deploy file and review/build-3.sh first" >&2
  exit 2
fi
target/standin3 drill review/11/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
