#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs target/lib, which the build of the deploy file makes.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review
mkdir -p target/review
find review -name '*.java' -print0 | xargs -0 javac -nowarn -d target/review -cp 'target/lib/*'
