package tulipshed.emulator.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tulipshed.decision.api.Outcome;

/** The whole core with one fault between it and the world, now and then: what the checkers must find. */
final class FaultyPolicy extends ForwardingPolicyHost implements Policy {
    /** What is done wrong. */
    enum Fault {
        LATE_ANSWER,
        SECOND_ANSWER,
        DRAINED_MEMBER,
        COLD_MEMBER,
        SILENCE,
        /** Sends to a drained member for as long as the grace lasts by its own clock. */
        WHOLE_GRACE,
        /** Ends in good order without the answers that are still owed. */
        NO_LAST_ANSWERS,
        /** Takes the starts in lists as if all machines read one clock. */
        TRUSTS_CLOCKS
    }

    private static final int EVERY = 10; // of the chances to do it wrong
    private static final double LATE_MS = 200; // after the client's wait
    private static final double LONG_DRAINED_MS = 500;

    private final Fault fault;
    private final Policy core;
    private final Map<Integer, Double> notServingSince = new HashMap<>();
    private final Map<Integer, Double> started = new HashMap<>();
    private int chances;

    FaultyPolicy(PolicyHost host, Map<String, Integer> numbers, Fault fault) {
        super(host);
        this.fault = fault;
        core = new CorePolicy(this, numbers, fault == Fault.TRUSTS_CLOCKS);
    }

    private boolean strikes(Fault f) {
        return fault == f && ++chances % EVERY == 0;
    }

    // ---- What the core does to the world ----

    @Override
    public EmulatedAttempt startAttempt(ClientRequest request, int endpoint) {
        int to = endpoint;
        if (fault == Fault.WHOLE_GRACE) {
            to = notServingSince.entrySet().stream()
                    .filter(e ->
                            nowMs() - e.getValue() <= scenario().endpointModel().drainGraceMs())
                    .map(Map.Entry::getKey)
                    .min(Integer::compare)
                    .orElse(endpoint);
        } else if (fault == Fault.DRAINED_MEMBER) {
            to = notServingSince.entrySet().stream()
                    .filter(e -> nowMs() - e.getValue() > LONG_DRAINED_MS)
                    .map(Map.Entry::getKey)
                    .min(Integer::compare)
                    .orElse(endpoint);
        } else if (fault == Fault.COLD_MEMBER) {
            to = started.entrySet().stream()
                    .filter(e ->
                            nowMs() - e.getValue() < scenario().endpointModel().slowStartMs() / 2)
                    .map(Map.Entry::getKey)
                    .min(Integer::compare)
                    .orElse(endpoint);
        }
        return host.startAttempt(request, to);
    }

    @Override
    public void reject(ClientRequest request, double retryAfterMs) {
        if (strikes(Fault.LATE_ANSWER)) {
            host.schedule(request.remainingMs(nowMs()) + LATE_MS, () -> host.reject(request, retryAfterMs));
        } else if (!strikes(Fault.SILENCE)) {
            host.reject(request, retryAfterMs);
            if (strikes(Fault.SECOND_ANSWER)) {
                host.schedule(1, () -> host.reject(request, retryAfterMs));
            }
        }
    }

    // ---- What the world does to the core ----

    @Override
    public void endpointsChanged(EndpointListDelivery delivery) {
        for (EndpointListing listing : delivery.listings()) {
            if (listing.isServing()) {
                notServingSince.remove(listing.endpoint());
                long us = listing.entry().info().startedUs();
                if (us > 0) {
                    started.put(listing.endpoint(), us / 1000.0);
                }
            } else {
                notServingSince.putIfAbsent(listing.endpoint(), nowMs());
                started.remove(listing.endpoint());
            }
        }
        core.endpointsChanged(delivery);
    }

    @Override
    public void requestArrived(ClientRequest request) {
        core.requestArrived(request);
    }

    @Override
    public void connectionAdopted(ClientRequest request, EmulatedAttempt attempt) {
        core.connectionAdopted(request, attempt);
    }

    @Override
    public boolean attemptEstablished(EmulatedAttempt attempt) {
        return core.attemptEstablished(attempt);
    }

    @Override
    public void attemptEnded(EmulatedAttempt attempt, Outcome outcome) {
        core.attemptEnded(attempt, outcome);
    }

    @Override
    public void requestCancelled(ClientRequest request) {
        core.requestCancelled(request);
    }

    @Override
    public void latencyReported(EmulatedAttempt attempt, double delayMs) {
        core.latencyReported(attempt, delayMs);
    }

    @Override
    public void loadReported(EmulatedAttempt attempt) {
        core.loadReported(attempt);
    }

    @Override
    public void reconfigure() {
        core.reconfigure();
    }

    @Override
    public void quotaShareChanged(double share) {
        core.quotaShareChanged(share);
    }

    @Override
    public void shutDown(List<ClientRequest> pending) {
        if (fault != Fault.NO_LAST_ANSWERS) {
            core.shutDown(pending);
        }
    }

    @Override
    public void runReadyTasks() {
        core.runReadyTasks();
    }
}
