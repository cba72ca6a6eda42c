#!/bin/sh
# Plays this case once: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the
# disruption. record.txt beside this file says what was sent, answered and run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] || { echo "build first: review/build.sh" >&2; exit 2; }
exec review/bin/standin upgrade-disable review/3
