#!/bin/sh
# Leaves the classes that a node needs for its start and for requests in node/target/tulipshed.jsa, from which `run` maps
# them: a node that serves traffic of every kind on loopback writes the archive as it ends. Where the file is missing or not
# of this jar, `run` starts without.
set -eu
cd "$(dirname "$0")/.."
rm -f node/target/tulipshed.jsa
java --add-exports java.base/sun.nio.ch=ALL-UNNAMED -cp node/target/test-classes:node/target/tulipshed.jar \
    tulipshed.archive.ArchiveTraffic 0 \
    env --default-signal=HUP java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
    -XX:ArchiveClassesAtExit=node/target/tulipshed.jsa -jar node/target/tulipshed.jar serve --operators deploy/tulipshed.sexp \
    > node/target/archive.log 2>&1
