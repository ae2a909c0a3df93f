package tulipshed.decision;

import java.util.SplittableRandom;
import tulipshed.decision.api.BalancerActions;

/** Schedules polls of the discovery service where it does not push the endpoint list. */
record DiscoveryPolling(ActiveSettings settings, SplittableRandom random, BalancerActions actions) {
    /** Timer token of a poll; the tokens of requests are odd. */
    static final long TIMER_TOKEN = 0;

    private static final double FIRST_POLL_SHARE = 0.4; // of the time allowed; polls are spread uniformly over it
    private static final long RETRY_US = 1_300_000; // mean delay after a failure; changes must arrive within 6 s
    private static final double MIN_JITTER = 0.5; // keeps balancers that failed together from polling together

    /**
     * Schedules the first poll at a random time, as simultaneous polls of restarted balancers would overload discovery.
     */
    void scheduleFirstPoll() {
        if (settings.current().polledDiscovery()) {
            double latestUs = settings.current().rules().pollWithinUs() * FIRST_POLL_SHARE;
            actions.scheduleTimer((long) (latestUs * random.nextDouble()), TIMER_TOKEN);
        }
    }

    /** Schedules the next poll after a failed one. */
    void scheduleNextPoll() {
        if (settings.current().polledDiscovery()) {
            actions.scheduleTimer((long) (RETRY_US * (MIN_JITTER + random.nextDouble())), TIMER_TOKEN);
        }
    }
}
