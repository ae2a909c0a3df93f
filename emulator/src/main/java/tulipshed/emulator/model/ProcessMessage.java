package tulipshed.emulator.model;

import tulipshed.emulator.policy.EndpointListDelivery;

/** The messages to a node that are about its process, its configuration or its network. */
public sealed interface ProcessMessage extends NodeMessage {
    /** To itself: an action that the policy of one generation of the process has asked for is due. */
    record PolicyTimer(int generation, Runnable action) implements ProcessMessage {
        @Override
        public int traceCode() {
            return 4;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.onPolicyTimer(generation, action);
        }
    }

    /** Discovery reports endpoints; the version is below 0 where the call failed. */
    record EndpointList(EndpointListDelivery batch, int version) implements ProcessMessage {
        @Override
        public int traceCode() {
            return 8;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.onEndpointList(batch, version);
        }
    }

    /** The process is asked to drain and exit, or it is killed. */
    record StopProcess(boolean graceful) implements ProcessMessage {
        @Override
        public int traceCode() {
            return 12;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.onStopProcess(graceful);
        }
    }

    /** The process gets a signal; only one that is real does. */
    record SignalSent(ProcessSignal signal) implements ProcessMessage {
        @Override
        public int traceCode() {
            return 26;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.onSignal(signal);
        }
    }

    /** To itself: the next process starts. */
    record StartProcess() implements ProcessMessage {
        @Override
        public int traceCode() {
            return 13;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.onStartProcess();
        }
    }

    /** From now on a part of the network is out of reach. */
    record NetworkPartitioned() implements ProcessMessage {
        @Override
        public int traceCode() {
            return 17;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.onNetworkPartitioned();
        }
    }

    /** The process reads its configuration again and finds another discovery there. */
    record ReloadConfiguration() implements ProcessMessage {
        @Override
        public int traceCode() {
            return 19;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.onReloadConfiguration();
        }
    }

    /** To itself: the time that a draining process of that generation has is over. */
    record DrainOver(int generation) implements ProcessMessage {
        @Override
        public int traceCode() {
            return 22;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.onDrainOver(generation);
        }
    }

    /** For that time the process stalls now and then. */
    record StallsBegin(double durationMs) implements ProcessMessage {
        @Override
        public int traceCode() {
            return 23;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.onStallsBegin(durationMs);
        }
    }

    /** To itself: a stall of the process is over. */
    record StallOver() implements ProcessMessage {
        @Override
        public int traceCode() {
            return 24;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.onStallOver();
        }
    }

    /** A new process starts beside the old one, which hands over to it. */
    record HotRestart() implements ProcessMessage {
        @Override
        public int traceCode() {
            return 25;
        }

        @Override
        public void deliverTo(NodeActor node) {
            node.onHotRestart();
        }
    }
}
