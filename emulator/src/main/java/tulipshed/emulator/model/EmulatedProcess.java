package tulipshed.emulator.model;

import java.util.List;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.emulator.invariants.NodeInvariants;
import tulipshed.emulator.policy.ClientRequest;
import tulipshed.emulator.policy.EmulatedAttempt;
import tulipshed.emulator.policy.EndpointListDelivery;
import tulipshed.emulator.policy.HotRestart;
import tulipshed.emulator.policy.Policy;
import tulipshed.emulator.policy.PolicyHost;

/**
 * The life cycle of an emulated node's process: start, graceful stop, kill, restart and hot restart. Each process has a
 * policy and invariants of its own.
 */
final class EmulatedProcess {
    private final EmulatedNode node;
    private final World world;
    private final PolicyHost host;
    private final boolean isHotRestarted;
    private Policy policy;
    private NodeInvariants invariants;
    private int generation;
    private boolean running = true;
    private boolean acceptsClients = true;

    EmulatedProcess(EmulatedNode node, World world) {
        this.node = node;
        this.world = world;
        host = new EmulatedPolicyHost(node, world);
        isHotRestarted = world.scenario.faults().stream().anyMatch(t -> t.kind().equals("hot-restart-nodes"));
    }

    Policy policy() {
        return policy;
    }

    NodeInvariants invariants() {
        return invariants;
    }

    /** The number of processes before this one. */
    int generation() {
        return generation;
    }

    boolean isRunning() {
        return running;
    }

    /** Whether the front layer sends clients to it: it runs and does not drain. */
    boolean acceptsClients() {
        return running && acceptsClients;
    }

    /** Starts with the endpoints that an earlier process has stored. */
    void start(EndpointListDelivery stored) {
        invariants = node.newRules();
        node.turns().excuseStalls();
        policy = isHotRestarted ? new HotRestart(host, world.policies) : world.policies.apply(host);
        policy.runReadyTasks();
        EndpointListDelivery cached = new EndpointListDelivery(EndpointListKind.CACHED, stored.listings());
        node.endpointList().notify(cached);
        node.endpointList().read(cached);
        if (world.scenario.discovery().pushed()) {
            // The node's own network code asks the agent, without the policy's word.
            host.watchEndpoints();
        }
    }

    /** Starts again after an end. */
    void restart() {
        running = true;
        acceptsClients = true;
        node.log(null, "the next process starts");
        start(node.endpointList().stored());
    }

    /** Begins to drain, or is killed. */
    void stop(boolean graceful) {
        if (!running) {
            return;
        }
        if (!graceful) {
            end();
            return;
        }
        acceptsClients = false;
        double drainMs = world.scenario.nodes().shutdownMs();
        for (ClientRequest request : node.requests().all()) {
            node.scheduleSelf(node.nowMs + drainMs * node.random.nextDouble(), new AttemptMessage.MoveDue(request));
        }
        node.scheduleSelf(node.nowMs + drainMs + 1, new ProcessMessage.DrainOver(generation));
    }

    /** The time to drain is over: what is left is answered, and the process ends. */
    void drainOver(int drainingGeneration) {
        if (!running || drainingGeneration != generation) {
            return;
        }
        if (node.turns().isStalled()) {
            node.turns().runAfterStall(() -> drainOver(drainingGeneration));
            return;
        }
        policy.shutDown(List.copyOf(node.requests().all()));
        policy.runReadyTasks();
        for (ClientRequest request : node.requests().all()) {
            if (request.answerPending) {
                invariants.connectionClosed(node.turns().writeMs(), request.observed);
            }
        }
        end();
    }

    private void end() {
        node.log(null, "the process ends with " + node.requests().size() + " transactions");
        running = false;
        acceptsClients = false;
        generation++;
        node.turns().end();
        for (ClientRequest request : List.copyOf(node.requests().all())) {
            endRequest(request);
        }
        node.scheduleSelf(node.nowMs + world.scenario.nodes().restartMs(), new ProcessMessage.StartProcess());
    }

    private void endRequest(ClientRequest request) {
        node.requests().remove(request);
        EmulatedAttempt attempt = request.attempt;
        if (attempt != null) {
            attempt.ended = true;
            request.attempt = null;
            node.sendHangup(attempt);
        }
        if (request.established && attempt != null) {
            node.tally().at(node.tally().resets, node.nowMs);
            node.clients.returns(node.nowMs, request);
        } else if (request.answerPending) {
            // Nobody answers for a process that was killed; one that ended gracefully has been judged.
            invariants.clientLeft(request.observed);
            double pauseMs = world.scenario.clients().reconnectDelayMs() * (0.5 + node.random.nextDouble());
            node.clients.again(node.nowMs, request.demand, pauseMs);
        }
    }

    /** Hands over to a process that starts beside this one. */
    void hotRestart() {
        if (running && acceptsClients) {
            node.log(null, "hands over to another process");
            ((HotRestart) policy).begin(node.endpointList().stored());
        }
    }

    /** Has the client of an established connection reconnect, while it drains. */
    void moveClient(ClientRequest request) {
        if (running && request.indexAtNode >= 0 && request.established) {
            host.migrate(request);
        }
    }

    /** Reads the configuration again, which names another discovery. */
    void reloadConfiguration() {
        if (running) {
            node.log(null, "reads its configuration again");
            node.endpointList().forgetVersion();
            policy.reconfigure();
        }
    }
}
