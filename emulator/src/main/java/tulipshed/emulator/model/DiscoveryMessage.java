package tulipshed.emulator.model;

import tulipshed.decision.api.EndpointStatus;
import tulipshed.emulator.engine.Payload;

/** The messages to the emulated discovery service. */
sealed interface DiscoveryMessage extends Payload {
    /** Calls the handler of the message. */
    void deliverTo(EmulatedDiscovery discovery, double nowMs);

    /** A node asks for all changes since a version; for the whole list where that is below 0. */
    record ListCall(NodeActor node, int version) implements DiscoveryMessage {
        @Override
        public int traceCode() {
            return 50;
        }

        @Override
        public void deliverTo(EmulatedDiscovery discovery, double nowMs) {
            discovery.onListCall(nowMs, node, version);
        }
    }

    /** The status of an endpoint changes; its start is 0 where it has none. */
    record StatusChange(int endpoint, EndpointStatus status, double startedMs) implements DiscoveryMessage {
        @Override
        public int traceCode() {
            return 51;
        }

        @Override
        public void deliverTo(EmulatedDiscovery discovery, double nowMs) {
            discovery.onStatusChange(nowMs, endpoint, status, startedMs);
        }
    }

    /** To itself: a change becomes known to nodes. */
    record NotificationDue(int change) implements DiscoveryMessage {
        @Override
        public int traceCode() {
            return 52;
        }

        @Override
        public void deliverTo(EmulatedDiscovery discovery, double nowMs) {
            discovery.onNotificationDue(nowMs, change);
        }
    }

    /** Discovery fails all calls for that time. */
    record Outage(double durationMs) implements DiscoveryMessage {
        @Override
        public int traceCode() {
            return 53;
        }

        @Override
        public void deliverTo(EmulatedDiscovery discovery, double nowMs) {
            discovery.onOutage(nowMs, durationMs);
        }
    }

    /** An endpoint has ended by itself; discovery detects it after a time. */
    record EndpointFailed(int endpoint) implements DiscoveryMessage {
        @Override
        public int traceCode() {
            return 54;
        }

        @Override
        public void deliverTo(EmulatedDiscovery discovery, double nowMs) {
            discovery.onEndpointFailed(nowMs, endpoint);
        }
    }

    /** To itself: a call's turn has come. */
    record AnswerDue(NodeActor node, int version) implements DiscoveryMessage {
        @Override
        public int traceCode() {
            return 55;
        }

        @Override
        public void deliverTo(EmulatedDiscovery discovery, double nowMs) {
            discovery.onAnswerDue(nowMs, node, version);
        }
    }

    /** From now on changes become known that much later than usual. */
    record NotificationDelay(double delayMs) implements DiscoveryMessage {
        @Override
        public int traceCode() {
            return 56;
        }

        @Override
        public void deliverTo(EmulatedDiscovery discovery, double nowMs) {
            discovery.onNotificationDelay(delayMs);
        }
    }

    /** From now on an endpoint's clock is that much ahead of virtual time. */
    record ClockStep(int endpoint, double offsetMs) implements DiscoveryMessage {
        @Override
        public int traceCode() {
            return 57;
        }

        @Override
        public void deliverTo(EmulatedDiscovery discovery, double nowMs) {
            discovery.onClockStep(nowMs, endpoint, offsetMs);
        }
    }
}
