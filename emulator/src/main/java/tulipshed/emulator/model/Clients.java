package tulipshed.emulator.model;

import org.apache.commons.rng.UniformRandomProvider;
import tulipshed.emulator.policy.ClientDemand;
import tulipshed.emulator.policy.ClientRequest;
import tulipshed.emulator.scenario.ClientSettings;
import tulipshed.emulator.scenario.RequestClassSettings;

/** What clients at one node do: come, wait, try again here or at another node, and come back when they are cut off. */
public final class Clients {
    private static final double LEAST_LEFT_MS = 30; // of a wait, to try once more
    private static final double NO_NODE_MS = 20; // until a client whose node is not there tries another

    private final NodeActor node;
    private final World world;
    private final ClientSettings ways;
    private final UniformRandomProvider random;
    private double factor = 1;
    private double impatientUntilMs;
    private double giveUpShare;

    Clients(NodeActor node, World world, UniformRandomProvider random) {
        this.node = node;
        this.world = world;
        this.random = random;
        ways = world.scenario.clients();
        giveUpShare = ways.abandonShare();
    }

    void setArrivalFactor(double times) {
        factor = times;
    }

    void setImpatientUntil(double ms) {
        impatientUntilMs = ms;
    }

    void setEarlyLeaveShare(double share) {
        giveUpShare = share;
    }

    /** The part of the clients that leave before they are answered. */
    double earlyLeaveShare() {
        return giveUpShare;
    }

    /** The front layer's next client, after a time by chance. */
    public void next(double nowMs) {
        double perSecond = ways.arrivalsPerSecond() * world.shareOf(node.number) * factor;
        if (perSecond > 0) {
            node.scheduleSelf(
                    nowMs + RandomStreams.exponential(random, 1000 / perSecond), new ClientMessage.ClientArrival());
        } else if (ways.arrivalsPerSecond() > 0) {
            node.scheduleSelf(nowMs + 1000, new ClientMessage.ClientArrival());
        }
    }

    void onArrival(double nowMs) {
        if (factor > 0) {
            ClientDemand w = world.wish(random, nowMs);
            world.wants(node.tally(), w, nowMs);
            w.firstRequestMs = nowMs;
            asks(nowMs, w);
            onReturn(nowMs, w);
        }
        next(nowMs);
    }

    private boolean counted(ClientDemand w) {
        return w.firstRequestMs >= world.scenario.settleMs();
    }

    private void asks(double nowMs, ClientDemand w) {
        node.tally().at(node.tally().came, nowMs);
        if (counted(w)) {
            node.tally().asked[w.requestClass]++;
        }
    }

    void onReturn(double nowMs, ClientDemand w) {
        double deadline = world.scenario.requestClasses().get(w.requestClass).deadlineMs();
        double left = w.firstRequestMs + deadline - nowMs;
        if (left < LEAST_LEFT_MS || w.requestCount >= ways.maxRequests()) {
            rests(nowMs, w);
        } else if (!node.takes()) {
            node.elsewhere(w, nowMs + NO_NODE_MS);
        } else {
            w.requestCount++;
            node.asked(w, Math.min(left, deadline * ways.requestTimeoutShare()));
        }
    }

    /** After many failures a client waits longer before it begins anew. */
    private void rests(double nowMs, ClientDemand w) {
        if (counted(w)) {
            node.tally().lost[w.requestClass]++;
        }
        begins(nowMs + ways.pauseMs() * (0.5 + random.nextDouble()), w);
    }

    /** A client leaves and does not come back; what it wanted stays wanted. */
    public void leavesForGood() {
        node.tally().left++;
    }

    private void begins(double atMs, ClientDemand w) {
        if (atMs < w.wantedUntilMs) {
            w.requestCount = 0;
            w.firstRequestMs = atMs;
            asks(atMs, w);
            node.elsewhere(w, atMs);
        }
    }

    void onAnswerDue(double nowMs, ClientRequest t) {
        if (node.unanswered(t)) {
            again(nowMs, t.demand, backoffMs(t.demand));
        }
    }

    private double backoffMs(ClientDemand w) {
        double most =
                Math.min(ways.maxBackoffMs(), ways.initialBackoffMs() * Math.pow(2, Math.max(0, w.requestCount - 1)));
        return most * (0.5 + 0.5 * random.nextDouble());
    }

    /** Turned away: most wait as they are told, the others as they see fit. */
    public void refused(double nowMs, ClientRequest t, double retryAfterMs) {
        boolean heeds = retryAfterMs > 0 && random.nextDouble() < ways.retryAfterCompliance();
        double wait = nowMs < impatientUntilMs
                ? ways.initialBackoffMs() * random.nextDouble()
                : heeds ? retryAfterMs * (1 + 0.1 * random.nextDouble()) : backoffMs(t.demand);
        again(nowMs, t.demand, wait);
    }

    public void again(double nowMs, ClientDemand w, double waitMs) {
        double deadline = world.scenario.requestClasses().get(w.requestClass).deadlineMs();
        if (nowMs + waitMs + LEAST_LEFT_MS > w.firstRequestMs + deadline || w.requestCount >= ways.maxRequests()) {
            rests(nowMs, w);
        } else {
            node.elsewhere(w, nowMs + waitMs);
        }
    }

    /** A client has its connection; the way back to it counts. */
    public void served(double nowMs, ClientRequest t) {
        ClientDemand w = t.demand;
        double took = nowMs + world.scenario.network().withinSiteMs() - w.firstRequestMs;
        RequestClassSettings c = world.scenario.requestClasses().get(w.requestClass);
        node.tally().setupUs.recordValue(Math.min(3_600_000_000L, Math.round(took * 1000)));
        if (counted(w)) {
            (took <= c.latencyObjectiveMs() ? node.tally().inAim : node.tally().late)[w.requestClass]++;
        }
    }

    /** A connection broke, or was moved: its client comes back for the rest of what it wanted. */
    public void returns(double nowMs, ClientRequest t) {
        t.demand.reconnecting = true;
        begins(nowMs + ways.reconnectDelayMs() * (0.5 + random.nextDouble()), t.demand);
    }
}
