#!/bin/sh
# Starts the node of the example once, on loopback, and ends it again: the virtual machine leaves the classes that a
# start needs in node/target/tulipshed.jsa, from which `run` maps them. On half a core a start takes less than half the time
# with it; where it is missing or not of this jar, `run` starts without.
set -eu
cd "$(dirname "$0")/.."
rm -f node/target/tulipshed.jsa node/target/archive.log
sed 's/"listen": *"[^"]*"/"listen": "127.0.0.1:0"/' example/node.json > node/target/archive.json
PROXY_CONFIG=node/target/archive.json java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
    -XX:ArchiveClassesAtExit=node/target/tulipshed.jsa -jar node/target/tulipshed.jar serve --operators deploy/tulipshed.sexp \
    > node/target/archive.log 2>&1 &
node=$!
tries=0
until grep -qs " serves on " node/target/archive.log || [ "$tries" -ge 300 ]; do
    tries=$((tries + 1))
    sleep 0.1
done
kill -TERM "$node"
wait "$node" || true
