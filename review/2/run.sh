#!/bin/sh
# A new version is started while discovery is down, after a drain that the old process was told. TROUBLE=0: discovery is up.
case=review.StaleUpgrade
. "$(dirname "$0")/../case.sh"
