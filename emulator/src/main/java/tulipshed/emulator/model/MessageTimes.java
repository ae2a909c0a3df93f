package tulipshed.emulator.model;

import tulipshed.emulator.scenario.EndpointType;
import tulipshed.emulator.scenario.Scenario;

/** How long messages over the connections of an endpoint take, and which share of them is in time. */
final class MessageTimes {
    private final Scenario scenario;
    private final EndpointType kind;
    private final double[] inTimeShares;
    private double backlogMs;
    private double serviceMs;

    MessageTimes(Scenario scenario, EndpointType kind) {
        this.scenario = scenario;
        this.kind = kind;
        inTimeShares = new double[scenario.requestClasses().size()];
        serviceMs = scenario.endpointModel().messageMs() / kind.speed();
        updateInTimeShares(0);
    }

    /** The work that the endpoint has not kept up with. */
    double backlogMs() {
        return backlogMs;
    }

    /** How long a message takes. */
    double delayMs() {
        return serviceMs + backlogMs;
    }

    /** The share of messages in time by request class, 0 to 1. */
    double[] inTimeShares() {
        return inTimeShares;
    }

    /** The process has ended, and its backlog with it. */
    void clearBacklog() {
        backlogMs = 0;
    }

    /** Reduces the backlog to a share of it. */
    void scaleBacklog(double share) {
        backlogMs *= share;
    }

    /**
     * Computes backlog and message times anew.
     *
     * @param passedMs since the last call
     * @param loadFactor load of the established connections over capacity
     * @param busy the share of the cores that is in use, with set-ups; 1 and more where they do not suffice
     */
    void update(double passedMs, double loadFactor, double busy, double warmth, double slowdown) {
        backlogMs = Math.max(0, backlogMs + (loadFactor - 1) * passedMs);
        // Sakasegawa's approximation of the mean time in M/M/c; an endpoint without room is as slow as one nearly
        // without.
        int cores = kind.cores();
        double used = Math.min(1 - EmulatedEndpoint.LEAST_FREE_SHARE, busy);
        serviceMs = scenario.endpointModel().messageMs()
                / kind.speed()
                / warmth
                * slowdown
                * (1 + Math.pow(used, Math.sqrt(2.0 * (cores + 1)) - 1) / (cores * (1 - used)));
        updateInTimeShares(backlogMs);
    }

    /** No message is in time while the backlog is more than the aim, else the share is that of M/M/1. */
    private void updateInTimeShares(double backlog) {
        for (int c = 0; c < inTimeShares.length; c++) {
            double leftMs = scenario.requestClasses().get(c).messageObjectiveMs() - backlog;
            inTimeShares[c] = leftMs <= 0 ? 0 : 1 - Math.exp(-leftMs / serviceMs);
        }
    }
}
