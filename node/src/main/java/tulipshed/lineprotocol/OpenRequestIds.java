package tulipshed.lineprotocol;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import tulipshed.limits.LineProtocolLimits;
import tulipshed.time.Clock;
import tulipshed.transport.HotRestartState;

/**
 * The IDs that no new request may have: those of requests that are open in this process or its hot-restart peer, and for
 * some time those of ended requests that must not be executed a second time. Confined to the event-loop thread.
 */
final class OpenRequestIds {
    private final Set<String> claimedIds = new HashSet<>();

    /** The claimed IDs of ended requests with the time at which each is released, oldest first. */
    private final Map<String, Double> releaseTimesMs = new LinkedHashMap<>();

    private final HotRestartState hotRestartState;
    private final Clock clock;
    private final LineProtocolLimits limits;

    OpenRequestIds(HotRestartState hotRestartState, Clock clock, LineProtocolLimits limits) {
        this.hotRestartState = hotRestartState;
        this.clock = clock;
        this.limits = limits;
    }

    /** Claims the ID for one request; returns false if either process has claimed it. */
    boolean claim(String id) {
        if (!claimedIds.add(id)) {
            return false;
        }
        if (!hotRestartState.claimId(id)) {
            claimedIds.remove(id);
            return false;
        }
        return true;
    }

    /** Releases a claimed ID. */
    void release(String id) {
        claimedIds.remove(id);
        hotRestartState.releaseId(id);
    }

    /** Keeps the claimed ID of a request that has ended, and releases it after the retention time. */
    void retain(String id) {
        releaseTimesMs.put(id, clock.nowMs() + limits.executedIdRetentionMs());
        if (releaseTimesMs.size() > limits.maxExecutedIds()) {
            releaseOldest();
        }
    }

    /** Releases the retained IDs whose time is over. */
    void releaseExpired() {
        double nowMs = clock.nowMs();
        while (!releaseTimesMs.isEmpty() && releaseTimesMs.values().iterator().next() <= nowMs) {
            releaseOldest();
        }
    }

    private void releaseOldest() {
        Iterator<String> oldestFirst = releaseTimesMs.keySet().iterator();
        String oldest = oldestFirst.next();
        oldestFirst.remove();
        release(oldest);
    }
}
