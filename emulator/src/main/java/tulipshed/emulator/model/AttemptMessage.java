package tulipshed.emulator.model;

import tulipshed.decision.api.Outcome;
import tulipshed.emulator.policy.ClientRequest;
import tulipshed.emulator.policy.EmulatedAttempt;

/** The messages to a node that are about one request, or one attempt at an endpoint. */
public sealed interface AttemptMessage extends NodeMessage {
    /** The endpoint serves the attempt: its connection is established. */
    record AttemptUp(EmulatedAttempt attempt) implements AttemptMessage {
        @Override
        public int traceCode() {
            return 5;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.onAttemptUp(attempt);
        }
    }

    /** The endpoint has ended the attempt or its connection. */
    record AttemptEnded(EmulatedAttempt attempt, Outcome outcome) implements AttemptMessage {
        @Override
        public int traceCode() {
            return 6;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.onAttemptEnded(attempt, outcome);
        }
    }

    /** To itself: the node gives up an attempt whose endpoint is out of reach. */
    record AttemptTimedOut(EmulatedAttempt attempt) implements AttemptMessage {
        @Override
        public int traceCode() {
            return 6;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.onAttemptTimedOut(attempt);
        }
    }

    /** Messages over an established connection take that long now. */
    record MessageDelay(EmulatedAttempt attempt, double delayMs) implements AttemptMessage {
        @Override
        public int traceCode() {
            return 7;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.onMessageDelay(attempt, delayMs);
        }
    }

    /** To itself: the client of an established connection needs it no longer. */
    record ConnectionExpired(EmulatedAttempt attempt) implements AttemptMessage {
        @Override
        public int traceCode() {
            return 9;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.onConnectionExpired(attempt);
        }
    }

    /** To itself: the load of an established connection changes. */
    record LoadChangeDue(EmulatedAttempt attempt) implements AttemptMessage {
        @Override
        public int traceCode() {
            return 10;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.onLoadChangeDue(attempt);
        }
    }

    /** To itself: a client leaves before it is answered. */
    record ClientLeaves(ClientRequest request) implements AttemptMessage {
        @Override
        public int traceCode() {
            return 11;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.onClientLeaves(request);
        }
    }

    /** To itself: the node, which drains, asks the client of an established connection to reconnect. */
    record MoveDue(ClientRequest request) implements AttemptMessage {
        @Override
        public int traceCode() {
            return 14;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.onMoveDue(request);
        }
    }

    /** To itself: an answer would no longer count as late but as missing. */
    record AnswerOverdue(ClientRequest request) implements AttemptMessage {
        @Override
        public int traceCode() {
            return 18;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.onAnswerOverdue(request);
        }
    }
}
