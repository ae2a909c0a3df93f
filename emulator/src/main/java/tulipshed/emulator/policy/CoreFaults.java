package tulipshed.emulator.policy;

import java.util.List;
import java.util.Map;

/** Policies with the node's core and one defect on purpose, each of which violates an invariant: they test the checks. */
final class CoreFaults {
    /** One in so many rejections is faulty. */
    private static final int FAULT_INTERVAL = 10;
    /** Time from the client's deadline to a late rejection. */
    private static final double LATE_MS = 200;

    private static final double DRAINED_LONG_AGO_MS = 500;

    private CoreFaults() {}

    /** Some rejections come after the client's deadline. */
    static Policy lateRejection(PolicyHost host, Map<String, Integer> endpointIndexes) {
        return new CorePolicy(new LateRejectionHost(host), endpointIndexes);
    }

    /** Some rejections come twice. */
    static Policy secondRejection(PolicyHost host, Map<String, Integer> endpointIndexes) {
        return new CorePolicy(new SecondRejectionHost(host), endpointIndexes);
    }

    /** Some requests are never answered. */
    static Policy noRejection(PolicyHost host, Map<String, Integer> endpointIndexes) {
        return new CorePolicy(new NoRejectionHost(host), endpointIndexes);
    }

    /** Attempts go to an endpoint that drains, long after its drain grace period. */
    static Policy drainedEndpoint(PolicyHost host, Map<String, Integer> endpointIndexes) {
        return new MisroutingPolicy(host, endpointIndexes) {
            @Override
            boolean isWrongTarget(double nowMs, double notServingSinceMs, double startedMs) {
                return nowMs - notServingSinceMs > DRAINED_LONG_AGO_MS;
            }
        };
    }

    /** Attempts go to an endpoint that drains for as long as the grace period lasts by the node's own clock. */
    static Policy drainGraceByOwnClock(PolicyHost host, Map<String, Integer> endpointIndexes) {
        double graceMs = host.scenario().endpointModel().drainGraceMs();
        return new MisroutingPolicy(host, endpointIndexes) {
            @Override
            boolean isWrongTarget(double nowMs, double notServingSinceMs, double startedMs) {
                return nowMs - notServingSinceMs <= graceMs;
            }
        };
    }

    /** Attempts go to an endpoint in the first half of its slow start. */
    static Policy endpointInSlowStart(PolicyHost host, Map<String, Integer> endpointIndexes) {
        double halfMs = host.scenario().endpointModel().slowStartMs() / 2;
        return new MisroutingPolicy(host, endpointIndexes) {
            @Override
            boolean isWrongTarget(double nowMs, double notServingSinceMs, double startedMs) {
                return nowMs - startedMs < halfMs;
            }
        };
    }

    /** The process shuts down without the answers that are still owed. */
    static Policy noAnswersAtShutdown(PolicyHost host, Map<String, Integer> endpointIndexes) {
        Policy core = new CorePolicy(host, endpointIndexes);
        return new ForwardingPolicy() {
            @Override
            Policy delegate() {
                return core;
            }

            @Override
            public void shutDown(List<ClientRequest> pending) {}
        };
    }

    /** The start times in endpoint lists are taken as if all machines read one clock. */
    static Policy trustsClocks(PolicyHost host, Map<String, Integer> endpointIndexes) {
        return new CorePolicy(host, endpointIndexes, true);
    }

    /** A host that handles one in {@link #FAULT_INTERVAL} rejections wrongly. */
    private abstract static class FaultyRejectionHost extends ForwardingPolicyHost {
        private int rejections;

        FaultyRejectionHost(PolicyHost host) {
            super(host);
        }

        abstract void rejectWrongly(ClientRequest request, double retryAfterMs);

        @Override
        public final void reject(ClientRequest request, double retryAfterMs) {
            if (++rejections % FAULT_INTERVAL == 0) {
                rejectWrongly(request, retryAfterMs);
            } else {
                host.reject(request, retryAfterMs);
            }
        }
    }

    private static final class LateRejectionHost extends FaultyRejectionHost {
        LateRejectionHost(PolicyHost host) {
            super(host);
        }

        @Override
        void rejectWrongly(ClientRequest request, double retryAfterMs) {
            host.schedule(request.remainingMs(nowMs()) + LATE_MS, () -> host.reject(request, retryAfterMs));
        }
    }

    private static final class SecondRejectionHost extends FaultyRejectionHost {
        SecondRejectionHost(PolicyHost host) {
            super(host);
        }

        @Override
        void rejectWrongly(ClientRequest request, double retryAfterMs) {
            host.reject(request, retryAfterMs);
            host.schedule(1, () -> host.reject(request, retryAfterMs));
        }
    }

    private static final class NoRejectionHost extends FaultyRejectionHost {
        NoRejectionHost(PolicyHost host) {
            super(host);
        }

        @Override
        void rejectWrongly(ClientRequest request, double retryAfterMs) {}
    }
}
