package tulipshed.emulator.model;

import tulipshed.emulator.policy.ClientDemand;
import tulipshed.emulator.policy.ClientRequest;

/** The messages to a node that are about the clients of its front layer. */
public sealed interface ClientMessage extends NodeMessage {
    /** To itself: the front layer sends the next client. */
    record ClientArrival() implements ClientMessage {
        @Override
        public int traceCode() {
            return 1;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.clients.onArrival(node.nowMs);
        }
    }

    /** A client asks again, or comes from another node. */
    record ClientReturns(ClientDemand demand) implements ClientMessage {
        @Override
        public int traceCode() {
            return 2;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.clients.onReturn(node.nowMs, demand);
        }
    }

    /** To itself: the time in which a request's answer counts is over. */
    record AnswerDue(ClientRequest request) implements ClientMessage {
        @Override
        public int traceCode() {
            return 3;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.clients.onAnswerDue(node.nowMs, request);
        }
    }

    /** From now on clients arrive that many times as often as usual. */
    record ArrivalRate(double factor) implements ClientMessage {
        @Override
        public int traceCode() {
            return 15;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.clients.setArrivalFactor(factor);
        }
    }

    /** For that time clients that are refused retry at once, whatever they are told. */
    record ImpatientClients(double durationMs) implements ClientMessage {
        @Override
        public int traceCode() {
            return 16;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.clients.setImpatientUntil(node.nowMs + durationMs);
        }
    }

    /** From now on that share of the clients leaves before its answer; 0 to 1. */
    record EarlyLeaveShare(double share) implements ClientMessage {
        @Override
        public int traceCode() {
            return 20;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.clients.setEarlyLeaveShare(share);
        }
    }
}
