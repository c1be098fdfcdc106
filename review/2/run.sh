#!/usr/bin/env bash
# Plays the case and writes what was sent, answered and run to record.txt in this folder. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
: > "$folder/record.txt" || exit 2
cd "$folder/../.." || exit 2
for program in target/bergamothollow review/bin/standin; do
  if [ ! -x "$program" ]; then
    echo "the case couldn't run: $program isn't built" | tee "$folder/record.txt" >&2
    exit 2
  fi
done
exec review/bin/standin stream "$folder/record.txt"
