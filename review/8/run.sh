#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out. Exit code: 1 the rule was broken, 0 it held, 2 the case
# couldn't run.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
[ -x "$root/target/apricotspool" ] && [ -x "$root/target/review-standin-2" ] || exit 2
REVIEW_ROOT=$root exec "$root/target/review-standin-2" builds
