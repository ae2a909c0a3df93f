package tulipshed.emulator.model;

import tulipshed.decision.api.Outcome;
import tulipshed.emulator.policy.ClientDemand;
import tulipshed.emulator.policy.ClientRequest;
import tulipshed.emulator.policy.EmulatedAttempt;

/** Attempts of an emulated node at endpoints, and the connections that they become. */
final class ConnectionHandler {
    /** After which time at most a node gives up a connection whose endpoint is out of reach. */
    private static final double SILENCE_TIMEOUT_MS = 2000;

    private final EmulatedNode node;
    private final World world;

    ConnectionHandler(EmulatedNode node, World world) {
        this.node = node;
        this.world = world;
    }

    /** Adds a connection that is established when the day begins. */
    EmulatedAttempt adopt(ClientDemand demand, int endpoint) {
        ClientRequest request = node.requestHandler().open(demand, 0, 0);
        EmulatedAttempt attempt = new EmulatedAttempt(request, endpoint, 0, Double.NaN, node);
        request.attempt = attempt;
        request.attemptCount = 1;
        node.process().invariants().attemptStarted(0, request.observed, endpoint);
        node.process().invariants().answered(0, request.observed, "served");
        node.process().policy().connectionAdopted(request, attempt);
        scheduleLife(attempt);
        return attempt;
    }

    private void scheduleLife(EmulatedAttempt attempt) {
        node.scheduleSelf(
                Math.max(node.nowMs, attempt.request.demand.wantedUntilMs),
                new AttemptMessage.ConnectionExpired(attempt));
        double changesPerS = world.scenario.clients().loadChangesPerSecond();
        if (changesPerS > 0) {
            scheduleLoadChange(attempt, changesPerS);
        }
    }

    private void scheduleLoadChange(EmulatedAttempt attempt, double changesPerS) {
        node.scheduleSelf(
                node.nowMs + RandomStreams.exponential(node.random, 1000 / changesPerS),
                new AttemptMessage.LoadChangeDue(attempt));
    }

    /** Sends an attempt of a request to an endpoint. */
    EmulatedAttempt start(ClientRequest request, int endpoint) {
        EmulatedAttempt attempt = new EmulatedAttempt(
                request, endpoint, node.nowMs, node.endpointList().startedMs(endpoint), node);
        request.attemptCount++;
        request.attempt = attempt;
        node.log(request, "attempt " + request.attemptCount + " to " + node.endpointName(attempt));
        double sentMs = node.turns().writeMs();
        node.process().invariants().attemptStarted(sentMs, request.observed, endpoint);
        node.tally().at(node.tally().attempts, node.nowMs);
        double reachableMs = world.cuts.backMs(node.site, world.members[endpoint], sentMs);
        if (reachableMs > sentMs) {
            // Never established; reset once the endpoint is back in reach, should anybody still wait.
            node.scheduleSelf(
                    reachableMs + world.scenario.network().minLatencyMs(), new AttemptMessage.AttemptTimedOut(attempt));
        } else {
            node.sendDial(attempt);
        }
        return attempt;
    }

    /** Ends an attempt or a connection that the node does not want any more. */
    void cancel(EmulatedAttempt attempt) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        if (attempt.request.attempt == attempt) {
            attempt.request.attempt = null;
        }
        node.process().invariants().attemptEnded(node.nowMs, attempt.request.observed, "given up");
        node.sendHangup(attempt);
    }

    /** An endpoint has established the connection of an attempt. */
    void established(EmulatedAttempt attempt) {
        ClientRequest request = attempt.request;
        if (request.indexAtNode < 0 || attempt.ended || !node.process().policy().attemptEstablished(attempt)) {
            node.sendHangup(attempt);
            return;
        }
        node.log(
                request,
                "served by " + node.endpointName(attempt) + " after " + Math.round(node.nowMs - attempt.sentMs)
                        + " ms");
        double answeredMs = node.turns().writeMs();
        node.process().invariants().answered(answeredMs, request.observed, "served");
        if (request.clientTimedOut) {
            expired(attempt);
            return;
        }
        node.clients.served(answeredMs, request);
        scheduleLife(attempt);
    }

    /** An attempt or its connection has ended, other than by this node's will. */
    void ended(EmulatedAttempt attempt, Outcome outcome) {
        ClientRequest request = attempt.request;
        if (request.indexAtNode < 0 || attempt.ended) {
            return;
        }
        boolean wasEstablished = request.established;
        node.log(
                request,
                (wasEstablished ? "the connection at " : "the flow to ") + node.endpointName(attempt) + " ends: "
                        + outcome);
        attempt.ended = true;
        request.attempt = null;
        node.process().invariants().attemptEnded(node.nowMs, request.observed, outcome.name());
        if (wasEstablished) {
            node.requests().remove(request);
        }
        node.process().policy().attemptEnded(attempt, outcome);
        node.process().policy().runReadyTasks();
        if (wasEstablished) {
            node.clients.returns(node.nowMs, request);
        }
    }

    /** Messages over an established connection take that many milliseconds. */
    void delayed(EmulatedAttempt attempt, double delayMs) {
        if (attempt.request.indexAtNode >= 0 && attempt.request.established && !attempt.ended) {
            node.log(
                    attempt.request,
                    "messages at " + node.endpointName(attempt) + " take " + Math.round(delayMs) + " ms");
            node.process().policy().latencyReported(attempt, delayMs);
        }
    }

    /** The client of an established connection needs it no longer. */
    void expired(EmulatedAttempt attempt) {
        ClientRequest request = attempt.request;
        if (request.indexAtNode >= 0 && request.established && !attempt.ended) {
            attempt.ended = true;
            request.attempt = null;
            node.requests().remove(request);
            node.sendHangup(attempt);
            node.process().policy().attemptEnded(attempt, Outcome.OK);
        }
    }

    /** Draws a new load for an established connection and tells its endpoint. */
    void changeLoad(EmulatedAttempt attempt) {
        ClientRequest request = attempt.request;
        if (request.indexAtNode < 0 || !request.established || attempt.ended) {
            return;
        }
        request.demand.load = request.demand.usualLoad
                * RandomStreams.lognormal(node.random, world.scenario.clients().loadSwing());
        node.sendToEndpoint(attempt.endpoint, new EndpointMessage.LoadChanged(attempt, request.demand.load));
        if (world.scenario.clients().reportsLoad()) {
            node.process().policy().loadReported(attempt);
        }
        scheduleLoadChange(attempt, world.scenario.clients().loadChangesPerSecond());
    }

    /** Closes an established connection gracefully; its client reconnects. */
    void migrate(ClientRequest request) {
        EmulatedAttempt attempt = request.attempt;
        if (request.indexAtNode < 0 || !request.established || attempt == null) {
            return;
        }
        attempt.ended = true;
        request.attempt = null;
        node.requests().remove(request);
        node.log(request, "moved off " + node.endpointName(attempt));
        node.tally().at(node.tally().moves, node.nowMs);
        node.sendHangup(attempt);
        node.clients.returns(node.nowMs, request);
        // Reported after the action, as of anything else that has ended.
        node.schedulePolicyTask(0, () -> node.process().policy().attemptEnded(attempt, Outcome.OK));
    }

    /**
     * A part of the network is out of reach: connections to it are silent. The node gives each up after a while, or finds
     * it reset once the endpoint is back in reach.
     */
    void networkPartitioned() {
        for (ClientRequest request : node.requests().all()) {
            EmulatedAttempt attempt = request.attempt;
            double reachableMs = attempt == null
                    ? node.nowMs
                    : world.cuts.backMs(node.site, world.members[attempt.endpoint], node.nowMs);
            if (request.established && reachableMs > node.nowMs) {
                double noticedMs = node.nowMs + SILENCE_TIMEOUT_MS * (0.5 + 0.5 * node.random.nextDouble());
                node.scheduleSelf(
                        Math.min(
                                noticedMs,
                                reachableMs + world.scenario.network().minLatencyMs()),
                        new AttemptMessage.AttemptTimedOut(attempt));
            }
        }
    }
}
