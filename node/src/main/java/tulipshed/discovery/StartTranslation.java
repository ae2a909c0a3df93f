package tulipshed.discovery;

import tulipshed.time.WallTime;

/**
 * Start of an endpoint's process as listed, and its translation.
 *
 * @param listedStart the start by the wall clock of another machine
 * @param startedUs the start by the node's monotonic clock, in microseconds
 */
record StartTranslation(WallTime listedStart, long startedUs) {}
