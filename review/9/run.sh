#!/bin/sh
cd "$(dirname "$0")/../.." && exec java -cp review/src-2/target cases.SilentWatchThenCrowd review/9
