#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-2 ] && [ -f target/gatereel-platform.jar ] || exit 2
exec timeout 120 java -cp 'target/review-2:target/lib/*' org.gatereel.secondreview.LeavingTarget review/6
