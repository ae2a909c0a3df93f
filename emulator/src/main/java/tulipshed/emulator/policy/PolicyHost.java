package tulipshed.emulator.policy;

import tulipshed.emulator.scenario.Scenario;

/** The node around a policy: what the policy may ask and do. Times are virtual milliseconds. */
public interface PolicyHost {
    /** The virtual time, which no real node could read. */
    double nowMs();

    /** The node's own monotonic clock; its origin is that of no other clock. */
    double clockMs();

    /** The scenario that is run. */
    Scenario scenario();

    /** The node's index, from 0. */
    int node();

    /** The seed of this process's random decisions. */
    long seed();

    /** The number of endpoints that there may ever be; their indexes are below it. */
    int endpointCount();

    /** The id that the endpoint list gives an endpoint. */
    String endpointName(int endpoint);

    /** Starts an attempt of a request at an endpoint. */
    EmulatedAttempt startAttempt(ClientRequest request, int endpoint);

    /** Cancels an attempt; the policy hears no more of it. */
    void cancel(EmulatedAttempt attempt);

    /**
     * Final answer: rejected.
     *
     * @param retryAfterMs the Retry-After pause that the client is told; 0 for none
     */
    void reject(ClientRequest request, double retryAfterMs);

    /** Final answer: failed. */
    void fail(ClientRequest request);

    /** Closes an established connection gracefully; its client reconnects. */
    void migrate(ClientRequest request);

    /** Runs a task after a delay, unless the process ends before. */
    void schedule(double delayMs, Runnable task);

    /** Asks discovery for the endpoint list and for changes to it from now on. */
    void watchEndpoints();

    /** The true state of an endpoint, for oracle policies only. */
    GroundTruth groundTruth(int endpoint);
}
