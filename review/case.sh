# Sourced by each run.sh with `case` set to the class to run. Exit codes: 1 rule broken, 0 rule held, 2 could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -d "$root/review/target/classes" ]; then
  echo "run review/build.sh first" >&2
  exit 2
fi
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
exec java -Xmx256m --add-exports java.base/sun.nio.ch=ALL-UNNAMED \
  -Djava.nio.channels.spi.SelectorProvider=sun.nio.ch.EPollSelectorProvider \
  -cp "$root/review/target/classes:$root/node/target/tulipshed.jar" "$case" "$root" "$here" "$run"
