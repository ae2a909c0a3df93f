package tulipshed.emulator.policy;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.Outcome;

/** What is common to the policies that the module is compared with: they choose, try again elsewhere, then turn away. */
abstract class BaselinePolicy extends AttemptingPolicy {
    private static final double RETRY_MS = 1000;
    private static final double ASK_MS = 1000;

    final UniformRandomProvider random;
    private int[] serving = new int[0];
    private int count;
    private final int[] placeOf;
    final double[] weight;
    /** Connections of this node at each member, coming up and standing. */
    final int[] open;

    BaselinePolicy(PolicyHost host) {
        super(host);
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {host.seed(), 0x7A11D});
        int n = host.endpointCount();
        placeOf = new int[n];
        java.util.Arrays.fill(placeOf, -1);
        weight = new double[n];
        open = new int[n];
        host.schedule(random.nextDouble() * ASK_MS, host::watchEndpoints);
    }

    /** A member to try, other than one just tried where there is a choice; below 0 where there is none. */
    abstract int choose(ClientRequest request, int excluded);

    void came(int endpoint) {}

    void went(int endpoint) {}

    void took(int endpoint, double ms) {}

    final int servingCount() {
        return count;
    }

    final int serving(int i) {
        return serving[i];
    }

    final int any(int excluded) {
        if (count == 0) {
            return -1;
        }
        int endpoint = serving[random.nextInt(count)];
        return endpoint == excluded && count > 1
                ? serving[(placeOf[endpoint] + 1 + random.nextInt(count - 1)) % count]
                : endpoint;
    }

    @Override
    public void endpointsChanged(EndpointListDelivery delivery) {
        if (delivery.kind() == EndpointListKind.FAILED) {
            host.schedule(ASK_MS * (0.5 + random.nextDouble()), host::watchEndpoints);
            return;
        }
        if (delivery.kind() != EndpointListKind.CHANGES) {
            while (count > 0) {
                remove(serving[count - 1]);
            }
        }
        for (EndpointListing listing : delivery.listings()) {
            weight[listing.endpoint()] = listing.entry().info().weight();
            if (listing.isServing() && placeOf[listing.endpoint()] < 0) {
                if (count == serving.length) {
                    serving = java.util.Arrays.copyOf(serving, Math.max(16, 2 * count));
                }
                placeOf[listing.endpoint()] = count;
                serving[count++] = listing.endpoint();
                came(listing.endpoint());
            } else if (!listing.isServing() && placeOf[listing.endpoint()] >= 0) {
                remove(listing.endpoint());
            }
        }
    }

    @Override
    public void reconfigure() {
        host.watchEndpoints();
    }

    private void remove(int endpoint) {
        int at = placeOf[endpoint];
        int last = serving[--count];
        serving[at] = last;
        placeOf[last] = at;
        placeOf[endpoint] = -1;
        went(endpoint);
    }

    @Override
    final void decide(ClientRequest request) {
        place(request, -1);
    }

    private void place(ClientRequest request, int excluded) {
        double left = request.remainingMs(host.nowMs());
        int endpoint = request.attemptCount < host.scenario().nodes().maxAttempts() && left > 60
                ? choose(request, excluded)
                : -1;
        if (endpoint < 0) {
            request.answerPending = false;
            host.reject(
                    request,
                    Math.min(RETRY_MS, host.scenario().nodes().maxRetryAfterMs())
                            * (0.75 + 0.25 * random.nextDouble()));
            return;
        }
        open[endpoint]++;
        boolean last = request.attemptCount + 1 >= host.scenario().nodes().maxAttempts();
        startAttempt(request, endpoint, last ? 0 : left / 2);
    }

    @Override
    public final void connectionAdopted(ClientRequest request, EmulatedAttempt attempt) {
        request.answerPending = false;
        request.established = true;
        open[attempt.endpoint]++;
    }

    @Override
    void started(EmulatedAttempt attempt, double tookMs) {
        took(attempt.endpoint, tookMs);
    }

    @Override
    void finished(EmulatedAttempt attempt, boolean concluded, Outcome outcome) {
        open[attempt.endpoint]--;
        if (!attempt.request.established && outcome != Outcome.CANCELLED) {
            took(attempt.endpoint, Math.max(1000, host.nowMs() - attempt.sentMs));
        }
        if (!concluded) {
            place(attempt.request, attempt.endpoint);
        }
    }

    @Override
    void abandoned(ClientRequest request) {}

    @Override
    public void latencyReported(EmulatedAttempt attempt, double delayMs) {}

    @Override
    public void loadReported(EmulatedAttempt attempt) {}
}
