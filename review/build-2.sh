#!/bin/bash
# Builds the stand-ins of the second review's cases; runs after the build of the deploy file, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
find review/standins-2 -name '*.java' -print0 | xargs -0 javac -nowarn --release 17 -cp 'target/lib/*' -d target/review-2
