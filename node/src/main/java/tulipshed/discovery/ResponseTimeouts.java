package tulipshed.discovery;

import java.util.EnumMap;
import java.util.Map;
import org.jboss.logging.Logger;
import tulipshed.limits.DiscoveryLimits;

/**
 * Timeouts for the start of a response to a call, which adapt to how late a server responds. A long poll waits for
 * changes by as much shorter as its timeout is longer, so a watch that has fallen silent is detected after the same
 * time however slow the server is. Confined to the event-loop thread.
 */
final class ResponseTimeouts {
    private final DiscoveryLimits limits;
    private final Logger log;
    private final Map<DeliveryMode, AdaptiveTimeout> timeouts = new EnumMap<>(DeliveryMode.class);

    ResponseTimeouts(DiscoveryLimits limits, Logger log) {
        this.limits = limits;
        this.log = log;
        for (DeliveryMode mode : DeliveryMode.values()) {
            timeouts.put(
                    mode,
                    new AdaptiveTimeout(
                            mode.responseTimeoutMs(limits),
                            limits.lateResponseTimeoutMs(),
                            mode.maxResponseTimeoutMs(limits)));
        }
    }

    /** Longest time that a response may begin after the end of the requested wait, in milliseconds. */
    double timeoutMs(DeliveryMode mode) {
        return timeouts.get(mode).currentMs();
    }

    /** The same if a late response is expected, in milliseconds. */
    double lateTimeoutMs(DeliveryMode mode) {
        return Math.max(timeoutMs(mode), limits.lateResponseTimeoutMs());
    }

    /** Longest time for which a call may ask the server to wait for changes, in milliseconds; 0 or more. */
    double longPollMs(DeliveryMode mode) {
        return Math.max(0, mode.longPollMs(limits) - timeouts.get(mode).extensionMs());
    }

    /**
     * Adapts the timeout to a response.
     *
     * @param waitMs the requested wait of the call, in milliseconds
     * @param durationMs the duration of the call, in milliseconds
     * @param hasChanges whether the response contains changes, which may have ended the wait at any time
     */
    void responseReceived(DeliveryMode mode, double waitMs, double durationMs, boolean hasChanges) {
        AdaptiveTimeout timeout = timeouts.get(mode);
        double previousMs = timeout.currentMs();
        double beyondWaitMs = Math.max(0, durationMs - waitMs);
        timeout.completed(beyondWaitMs, hasChanges ? durationMs : beyondWaitMs);
        logChange(previousMs, timeout);
    }

    /**
     * Lengthens the timeout after a call without a response. A long poll is no evidence of a slow server, as its watch
     * may have fallen silent.
     */
    void responseMissed(DeliveryMode mode, boolean isLongPoll) {
        if (isLongPoll) {
            return;
        }
        AdaptiveTimeout timeout = timeouts.get(mode);
        double previousMs = timeout.currentMs();
        timeout.expired();
        logChange(previousMs, timeout);
    }

    private void logChange(double previousMs, AdaptiveTimeout timeout) {
        boolean wasExtended = previousMs > timeout.currentMs() - timeout.extensionMs();
        if (!wasExtended && timeout.extensionMs() > 0) {
            log.info("responses are late, timeout lengthened to " + Math.round(timeout.currentMs()) + " ms");
        } else if (wasExtended && timeout.extensionMs() == 0) {
            log.info("responses are in time again");
        }
    }
}
