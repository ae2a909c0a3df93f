package tulipshed.proxy;

import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.time.Clock;

/** What the parts of one {@link ProxyCore} share: time, limits, settings, log and the event batch. */
record CoreContext(Clock clock, Limits limits, ActiveSettings settings, EventBatch events, NodeLog log) {
    /** The log subject of requests, attempts and connections. */
    static final String LOG_SUBJECT = "core";
}
