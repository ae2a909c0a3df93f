package tulipshed.emulator.model;

import tulipshed.emulator.engine.Payload;
import tulipshed.emulator.policy.EmulatedAttempt;

/** The messages to an emulated endpoint. */
sealed interface EndpointMessage extends Payload {
    /** Calls the handler of the message. */
    void deliverTo(EmulatedEndpoint endpoint, double nowMs);

    /** From now on a part of the network is out of reach. */
    record PartitionBegan() implements EndpointMessage {
        @Override
        public int traceCode() {
            return 17;
        }

        @Override
        public void deliverTo(EmulatedEndpoint endpoint, double nowMs) {
            endpoint.onPartitionBegan(nowMs);
        }
    }

    /** A node asks for a connection. */
    record Dial(EmulatedAttempt attempt) implements EndpointMessage {
        @Override
        public int traceCode() {
            return 30;
        }

        @Override
        public void deliverTo(EmulatedEndpoint endpoint, double nowMs) {
            endpoint.onDial(nowMs, attempt);
        }
    }

    /** The node's side of an attempt or of its connection is closed. */
    record Hangup(EmulatedAttempt attempt) implements EndpointMessage {
        @Override
        public int traceCode() {
            return 31;
        }

        @Override
        public void deliverTo(EmulatedEndpoint endpoint, double nowMs) {
            endpoint.onHangup(nowMs, attempt);
        }
    }

    /** To itself: the work of a set-up is done by a process of that generation. */
    record SetupDone(EmulatedAttempt attempt, int generation) implements EndpointMessage {
        @Override
        public int traceCode() {
            return 32;
        }

        @Override
        public void deliverTo(EmulatedEndpoint endpoint, double nowMs) {
            endpoint.onSetupDone(nowMs, attempt, generation);
        }
    }

    /** To itself: backlog and message times are computed anew. */
    record Tick() implements EndpointMessage {
        @Override
        public int traceCode() {
            return 33;
        }

        @Override
        public void deliverTo(EmulatedEndpoint endpoint, double nowMs) {
            endpoint.onTick(nowMs);
        }
    }

    /** An established connection needs that many cores from now on. */
    record LoadChanged(EmulatedAttempt attempt, double cores) implements EndpointMessage {
        @Override
        public int traceCode() {
            return 34;
        }

        @Override
        public void deliverTo(EmulatedEndpoint endpoint, double nowMs) {
            endpoint.onLoadChanged(attempt, cores);
        }
    }

    /** The endpoint closes its connections in good order and exits. */
    record DrainOver() implements EndpointMessage {
        @Override
        public int traceCode() {
            return 35;
        }

        @Override
        public void deliverTo(EmulatedEndpoint endpoint, double nowMs) {
            endpoint.onDrainOver(nowMs);
        }
    }

    /** The process dies; the peers of its connections are reset or left in silence. */
    record ProcessEnds(boolean withReset) implements EndpointMessage {
        @Override
        public int traceCode() {
            return 36;
        }

        @Override
        public void deliverTo(EmulatedEndpoint endpoint, double nowMs) {
            endpoint.onProcessEnds(nowMs, withReset);
        }
    }

    /** A new process starts. */
    record ProcessStarts() implements EndpointMessage {
        @Override
        public int traceCode() {
            return 37;
        }

        @Override
        public void deliverTo(EmulatedEndpoint endpoint, double nowMs) {
            endpoint.onProcessStarts(nowMs);
        }
    }

    /** From now on the endpoint is that many times slower; 1 is its usual speed. */
    record Slowdown(double factor) implements EndpointMessage {
        @Override
        public int traceCode() {
            return 38;
        }

        @Override
        public void deliverTo(EmulatedEndpoint endpoint, double nowMs) {
            endpoint.onSlowdown(factor);
        }
    }

    /** The endpoint stands still for that time. */
    record Pause(double durationMs) implements EndpointMessage {
        @Override
        public int traceCode() {
            return 39;
        }

        @Override
        public void deliverTo(EmulatedEndpoint endpoint, double nowMs) {
            endpoint.onPause(nowMs, durationMs);
        }
    }

    /** To itself: the peer of a connection notices that the process is gone. */
    record SilenceNoticed(EmulatedAttempt attempt) implements EndpointMessage {
        @Override
        public int traceCode() {
            return 40;
        }

        @Override
        public void deliverTo(EmulatedEndpoint endpoint, double nowMs) {
            endpoint.onSilenceNoticed(nowMs, attempt);
        }
    }

    /** From now on that share of the requests has this fate; 0 to 1. */
    record FaultShare(EndpointFaults.Fate fate, double share) implements EndpointMessage {
        @Override
        public int traceCode() {
            return 41;
        }

        @Override
        public void deliverTo(EmulatedEndpoint endpoint, double nowMs) {
            endpoint.onFaultShare(fate, share);
        }
    }
}
