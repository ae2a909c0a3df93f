#!/bin/sh
# Discovery answers late while a server drains. TROUBLE=0: it answers at once.
case=review.SlowDiscovery
. "$(dirname "$0")/../case.sh"
