#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/carawayknotd ] && [ -x target/review-driver3 ] || exit 2
exec target/review-driver3 revocation review/14
