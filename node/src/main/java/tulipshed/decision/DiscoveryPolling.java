package tulipshed.decision;

import java.util.SplittableRandom;
import tulipshed.decision.api.BalancerActions;

/**
 * Schedules polls of the discovery service where it does not push the endpoint list.
 *
 * <p>A failed poll is followed by a random delay. If this delay would end too late for a change since the last list to
 * be known in time, the poll is advanced, once after each list, and the polls after the next failures are postponed: a
 * service that refuses the polls of many balancers gets no more of them. Confined to one thread.
 */
final class DiscoveryPolling {
    /** Timer token of a poll; the tokens of requests are odd. */
    static final long TIMER_TOKEN = 0;

    private static final double FIRST_POLL_SHARE = 0.4; // of the time allowed; polls are spread uniformly over it
    private static final long MIN_RETRY_DELAY_US = 650_000;
    private static final long MAX_RETRY_DELAY_US = 1_950_000;

    /** Time after the last list within which a change must be known, in microseconds. */
    private static final long KNOWN_WITHIN_US = 6_000_000;

    /** Time reserved for the response to an advanced poll, in microseconds. */
    private static final long RESPONSE_US = 250_000;

    /** By how much later polls are postponed for each unit of advance; above 1, as a list may arrive before they are. */
    private static final long POSTPONEMENT_FACTOR = 2;

    /** Minimum time over which advanced polls are spread, in microseconds. */
    private static final long MIN_SPREAD_US = 100_000;

    private final ActiveSettings settings;
    private final SplittableRandom random;
    private final BalancerActions actions;

    /** Time of the last list from discovery, or of the start, in microseconds. */
    private long lastListUs;

    /** By how much polls are still to be postponed, in microseconds. */
    private long owedUs;

    /** Whether a poll since the last list has been advanced. */
    private boolean hasAdvanced;

    DiscoveryPolling(ActiveSettings settings, SplittableRandom random, BalancerActions actions, long nowUs) {
        this.settings = settings;
        this.random = random;
        this.actions = actions;
        lastListUs = nowUs;
    }

    /**
     * Schedules the first poll at a random time, as simultaneous polls of restarted balancers would overload discovery.
     */
    void scheduleFirstPoll() {
        if (settings.current().polledDiscovery()) {
            double latestUs = settings.current().rules().pollWithinUs() * FIRST_POLL_SHARE;
            actions.scheduleTimer((long) (latestUs * random.nextDouble()), TIMER_TOKEN);
        }
    }

    /** Records that a list from discovery has arrived. */
    void listReceived(long nowUs) {
        lastListUs = nowUs;
        owedUs = 0;
        hasAdvanced = false;
    }

    /** Schedules the next poll after a failed one. */
    void scheduleNextPoll(long nowUs) {
        if (settings.current().polledDiscovery()) {
            actions.scheduleTimer(retryDelayUs(nowUs), TIMER_TOKEN);
        }
    }

    private long retryDelayUs(long nowUs) {
        double share = random.nextDouble();
        long delayUs = (long) (MIN_RETRY_DELAY_US + share * (MAX_RETRY_DELAY_US - MIN_RETRY_DELAY_US));
        long dueInUs = lastListUs + KNOWN_WITHIN_US - nowUs;
        boolean isAdvanced = !hasAdvanced && dueInUs > 0 && dueInUs - RESPONSE_US < delayUs;
        return isAdvanced ? advance(delayUs, dueInUs) : postpone(delayUs);
    }

    /** Advances a poll to a random time, as other balancers may have to know of a change by the same time. */
    private long advance(long delayUs, long dueInUs) {
        long latestUs = Math.max(MIN_SPREAD_US, dueInUs - RESPONSE_US);
        long advancedDelayUs = latestUs * delayUs / MAX_RETRY_DELAY_US;
        owedUs = POSTPONEMENT_FACTOR * (delayUs - advancedDelayUs);
        hasAdvanced = true;
        return advancedDelayUs;
    }

    /** Postpones a poll by as much as is still owed, but never beyond the maximum delay. */
    private long postpone(long delayUs) {
        long postponedUs = Math.min(owedUs, MAX_RETRY_DELAY_US - delayUs);
        owedUs -= postponedUs;
        return delayUs + postponedUs;
    }
}
