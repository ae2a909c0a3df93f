#!/bin/sh
# Lays a playable folder for one of the customers in this folder: the operators' site file with this customer's values in
# place of its own, and beside it what the bench wants there. Nothing of the kit is kept in the repository: the folder
# deploy/sites/laid is ignored.
#
#     sh deploy/sites/lay.sh chmel-brany [KIT]
#
# KIT is the operators' kit, ../given/kit where it is not named. Prints the site file to be played.
set -eu
[ $# -ge 1 ] || { echo "usage: lay.sh CUSTOMER [KIT]" >&2; exit 2; }
here=$(cd "$(dirname "$0")" && pwd)
customer=$1
kit=${2:-$here/../../../given/kit}
values=$here/$customer.toml
[ -f "$values" ] || { echo "no customer $customer in $here" >&2; exit 2; }
case $(sed -n 's/^# .* as changes to \([a-z-]*\):.*/\1/p' "$values") in
    labe-sloty) base=$kit/sites/labe-sloty.toml ;;
    buurtstroom-oost) base=$kit/more/mass/other/buurtstroom-oost.toml ;;
    *) echo "$values does not say which site it changes" >&2; exit 2 ;;
esac
laid=$here/laid/$customer
mkdir -p "$laid"
# Each value takes the place of the one of the same key in the same table; the n-th [[table]] is the n-th there too.
awk '
    /^\[/ { table = $0; n[FILENAME, table]++ }
    { key = $0; sub(/ *=.*/, "", key); at = table "#" n[FILENAME, table] "." key }
    FNR == 1 { table = ""; at = "#." key }
    NR == FNR { if ($0 ~ /^[a-z_]+ *=/) wanted[at] = $0; next }
    ($0 ~ /^[a-z_]+ *=/) && (at in wanted) { print wanted[at]; done[at] = 1; next }
    { print }
    END { for (w in wanted) if (!(w in done)) { print "the site has no " w > "/dev/stderr"; bad = 1 } exit bad }
' "$values" "$base" > "$laid/$customer.toml"
for beside in real.json wire.json unlock.txt; do
    cp -f "$(dirname "$base")/$beside" "$laid/$beside"
done
echo "$laid/$customer.toml"
