#!/bin/sh
# Builds every stand-in of the cases into review/target. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
root=$(cd .. && pwd)
test -f "$root/node/target/tulipshed.jar" || { echo "build the deploy file first" >&2; exit 1; }
rm -rf target
mkdir -p target/classes
find src -name '*.java' > target/sources.txt
javac --release 17 -nowarn -encoding UTF-8 -cp "$root/node/target/tulipshed.jar" -d target/classes @target/sources.txt
