package tulipshed.proxy;

import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.time.Clock;

/** The objects shared by the components of one {@link ProxyCore}. */
record CoreContext(Clock clock, Limits limits, ActiveSettings settings, EventBatch events, NodeLog log) {
    /** The log subject for requests, attempts and connections. */
    static final String LOG_SUBJECT = "core";
}
