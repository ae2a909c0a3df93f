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
    public EmulatedAttempt dial(ClientRequest t, int member) {
        int to = member;
        if (fault == Fault.WHOLE_GRACE) {
            to = notServingSince.entrySet().stream()
                    .filter(e -> nowMs() - e.getValue() <= scenario().members().drainGraceMs())
                    .map(Map.Entry::getKey)
                    .min(Integer::compare)
                    .orElse(member);
        } else if (fault == Fault.DRAINED_MEMBER) {
            to = notServingSince.entrySet().stream()
                    .filter(e -> nowMs() - e.getValue() > LONG_DRAINED_MS)
                    .map(Map.Entry::getKey)
                    .min(Integer::compare)
                    .orElse(member);
        } else if (fault == Fault.COLD_MEMBER) {
            to = started.entrySet().stream()
                    .filter(e -> nowMs() - e.getValue() < scenario().members().warmMs() / 2)
                    .map(Map.Entry::getKey)
                    .min(Integer::compare)
                    .orElse(member);
        }
        return host.dial(t, to);
    }

    @Override
    public void refuse(ClientRequest t, double retryAfterMs) {
        if (strikes(Fault.LATE_ANSWER)) {
            host.after(t.leftMs(nowMs()) + LATE_MS, () -> host.refuse(t, retryAfterMs));
        } else if (!strikes(Fault.SILENCE)) {
            host.refuse(t, retryAfterMs);
            if (strikes(Fault.SECOND_ANSWER)) {
                host.after(1, () -> host.refuse(t, retryAfterMs));
            }
        }
    }

    // ---- What the world does to the core ----

    @Override
    public void list(EndpointListing.Batch news) {
        for (EndpointListing n : news.news()) {
            if (n.serving()) {
                notServingSince.remove(n.member());
                long us = n.listed().info().startedUs();
                if (us > 0) {
                    started.put(n.member(), us / 1000.0);
                }
            } else {
                notServingSince.putIfAbsent(n.member(), nowMs());
                started.remove(n.member());
            }
        }
        core.list(news);
    }

    @Override
    public void arrived(ClientRequest t) {
        core.arrived(t);
    }

    @Override
    public void alreadyOpen(ClientRequest t, EmulatedAttempt f) {
        core.alreadyOpen(t, f);
    }

    @Override
    public boolean up(EmulatedAttempt f) {
        return core.up(f);
    }

    @Override
    public void ended(EmulatedAttempt f, Outcome outcome) {
        core.ended(f, outcome);
    }

    @Override
    public void left(ClientRequest t) {
        core.left(t);
    }

    @Override
    public void delayed(EmulatedAttempt f, double delayMs) {
        core.delayed(f, delayMs);
    }

    @Override
    public void loadChanged(EmulatedAttempt f) {
        core.loadChanged(f);
    }

    @Override
    public void reload() {
        core.reload();
    }

    @Override
    public void quotaShare(double share) {
        core.quotaShare(share);
    }

    @Override
    public void shutDown(List<ClientRequest> pending) {
        if (fault != Fault.NO_LAST_ANSWERS) {
            core.shutDown(pending);
        }
    }

    @Override
    public void settle() {
        core.settle();
    }
}
