package tulipshed.emulator.policy;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.Outcome;

/**
 * What the policies that the decision module is compared with have in common: they choose an endpoint at random or by their
 * rule, retry at another one when an attempt fails, and reject the request when no attempt is left.
 */
abstract class BaselinePolicy extends AttemptingPolicy {
    private static final double RETRY_AFTER_MS = 1000;
    private static final double WATCH_DELAY_MS = 1000;

    /** Remaining wait of a client below which no attempt is started. */
    private static final double MIN_ATTEMPT_MS = 60;
    /** Least set-up time that a failed attempt counts as. */
    private static final double FAILURE_SETUP_MS = 1000;

    final UniformRandomProvider random;
    private int[] servingEndpoints = new int[0];
    private int servingCount;
    private final int[] indexInServing;
    /** Weight of each endpoint in the endpoint list. */
    final double[] weight;
    /** Connections of this node at each endpoint, in progress and established. */
    final int[] connections;

    BaselinePolicy(PolicyHost host) {
        super(host);
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {host.seed(), 0x7A11D});
        int n = host.endpointCount();
        indexInServing = new int[n];
        java.util.Arrays.fill(indexInServing, -1);
        weight = new double[n];
        connections = new int[n];
        host.schedule(random.nextDouble() * WATCH_DELAY_MS, host::watchEndpoints);
    }

    /**
     * Chooses the endpoint of the next attempt; below 0 to reject the request.
     *
     * @param excluded the endpoint of the failed attempt, which is avoided where there is another; below 0 for none
     */
    abstract int choose(ClientRequest request, int excluded);

    /** An endpoint began to serve. */
    void endpointAdded(int endpoint) {}

    /** An endpoint stopped serving. */
    void endpointRemoved(int endpoint) {}

    /** An attempt at an endpoint was established, or failed, after that many milliseconds. */
    void setupObserved(int endpoint, double setupMs) {}

    /** The number of serving endpoints. */
    final int servingCount() {
        return servingCount;
    }

    /** The index of the i-th serving endpoint. */
    final int servingEndpoint(int i) {
        return servingEndpoints[i];
    }

    /** A random serving endpoint, other than the excluded one where there is another; below 0 where none serves. */
    final int randomEndpoint(int excluded) {
        if (servingCount == 0) {
            return -1;
        }
        int endpoint = servingEndpoints[random.nextInt(servingCount)];
        return endpoint == excluded && servingCount > 1
                ? servingEndpoints[(indexInServing[endpoint] + 1 + random.nextInt(servingCount - 1)) % servingCount]
                : endpoint;
    }

    @Override
    public void endpointsChanged(EndpointListDelivery delivery) {
        if (delivery.kind() == EndpointListKind.FAILED) {
            host.schedule(WATCH_DELAY_MS * (0.5 + random.nextDouble()), host::watchEndpoints);
            return;
        }
        if (delivery.kind() != EndpointListKind.CHANGES) {
            while (servingCount > 0) {
                remove(servingEndpoints[servingCount - 1]);
            }
        }
        for (EndpointListing listing : delivery.listings()) {
            weight[listing.endpoint()] = listing.entry().info().weight();
            if (listing.isServing() && indexInServing[listing.endpoint()] < 0) {
                if (servingCount == servingEndpoints.length) {
                    servingEndpoints = java.util.Arrays.copyOf(servingEndpoints, Math.max(16, 2 * servingCount));
                }
                indexInServing[listing.endpoint()] = servingCount;
                servingEndpoints[servingCount++] = listing.endpoint();
                endpointAdded(listing.endpoint());
            } else if (!listing.isServing() && indexInServing[listing.endpoint()] >= 0) {
                remove(listing.endpoint());
            }
        }
    }

    @Override
    public void reconfigure() {
        host.watchEndpoints();
    }

    private void remove(int endpoint) {
        int at = indexInServing[endpoint];
        int last = servingEndpoints[--servingCount];
        servingEndpoints[at] = last;
        indexInServing[last] = at;
        indexInServing[endpoint] = -1;
        endpointRemoved(endpoint);
    }

    @Override
    final void decide(ClientRequest request) {
        forward(request, -1);
    }

    private void forward(ClientRequest request, int excluded) {
        double left = request.remainingMs(host.nowMs());
        int endpoint = request.attemptCount < host.scenario().nodes().maxAttempts() && left > MIN_ATTEMPT_MS
                ? choose(request, excluded)
                : -1;
        if (endpoint < 0) {
            request.answerPending = false;
            host.reject(
                    request,
                    Math.min(RETRY_AFTER_MS, host.scenario().nodes().maxRetryAfterMs())
                            * (0.75 + 0.25 * random.nextDouble()));
            return;
        }
        connections[endpoint]++;
        boolean last = request.attemptCount + 1 >= host.scenario().nodes().maxAttempts();
        startAttempt(request, endpoint, last ? 0 : left / 2);
    }

    @Override
    public final void connectionAdopted(ClientRequest request, EmulatedAttempt attempt) {
        request.answerPending = false;
        request.established = true;
        connections[attempt.endpoint]++;
    }

    @Override
    void attemptSucceeded(EmulatedAttempt attempt, double tookMs) {
        setupObserved(attempt.endpoint, tookMs);
    }

    @Override
    void attemptFinished(EmulatedAttempt attempt, boolean concluded, Outcome outcome) {
        connections[attempt.endpoint]--;
        if (!attempt.request.established && outcome != Outcome.CANCELLED) {
            setupObserved(attempt.endpoint, Math.max(FAILURE_SETUP_MS, host.nowMs() - attempt.sentMs));
        }
        if (!concluded) {
            forward(attempt.request, attempt.endpoint);
        }
    }

    @Override
    void requestAbandoned(ClientRequest request) {}

    @Override
    public void latencyReported(EmulatedAttempt attempt, double delayMs) {}

    @Override
    public void loadReported(EmulatedAttempt attempt) {}
}
