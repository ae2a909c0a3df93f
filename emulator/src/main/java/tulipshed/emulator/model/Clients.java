package tulipshed.emulator.model;

import org.apache.commons.rng.UniformRandomProvider;
import tulipshed.emulator.policy.ClientDemand;
import tulipshed.emulator.policy.ClientRequest;
import tulipshed.emulator.scenario.ClientSettings;
import tulipshed.emulator.scenario.RequestClassSettings;

/** The clients of one node: they arrive, wait, retry at this or another node, and reconnect when their connections break. */
public final class Clients {
    private static final double LEAST_LEFT_MS = 30; // before a deadline, for another request
    private static final double NO_NODE_MS = 20; // until a client whose node does not run tries another
    private static final long LONGEST_SETUP_US = 3_600_000_000L;

    private final NodeActor node;
    private final World world;
    private final ClientSettings model;
    private final UniformRandomProvider random;
    private double arrivalFactor = 1;
    private double impatientUntilMs;
    private double earlyLeaveShare;

    Clients(NodeActor node, World world, UniformRandomProvider random) {
        this.node = node;
        this.world = world;
        this.random = random;
        model = world.scenario.clients();
        earlyLeaveShare = model.abandonShare();
    }

    /** From now on clients arrive that many times as often as usual. */
    void setArrivalFactor(double factor) {
        arrivalFactor = factor;
    }

    /** Until that virtual time clients that are refused retry at once, whatever they are told. */
    void setImpatientUntil(double untilMs) {
        impatientUntilMs = untilMs;
    }

    /** From now on that share of the clients leaves before its answer; 0 to 1. */
    void setEarlyLeaveShare(double share) {
        earlyLeaveShare = share;
    }

    /** The share of the clients that leaves before its answer, 0 to 1. */
    double earlyLeaveShare() {
        return earlyLeaveShare;
    }

    /** Schedules the next arrival; the times between arrivals are exponentially distributed. */
    public void next(double nowMs) {
        double perSecond = model.arrivalsPerSecond() * world.shareOf(node.number) * arrivalFactor;
        if (perSecond > 0) {
            node.scheduleSelf(
                    nowMs + RandomStreams.exponential(random, 1000 / perSecond), new ClientMessage.ClientArrival());
        } else if (model.arrivalsPerSecond() > 0) {
            node.scheduleSelf(nowMs + 1000, new ClientMessage.ClientArrival());
        }
    }

    /** The front layer sends a client. */
    void onArrival(double nowMs) {
        if (arrivalFactor > 0) {
            ClientDemand demand = world.wish(random, nowMs);
            world.wants(node.tally(), demand, nowMs);
            demand.firstRequestMs = nowMs;
            countRequest(nowMs, demand);
            onReturn(nowMs, demand);
        }
        next(nowMs);
    }

    /** Whether the demand falls into the part of the day that results are about. */
    private boolean isCounted(ClientDemand demand) {
        return demand.firstRequestMs >= world.scenario.settleMs();
    }

    private void countRequest(double nowMs, ClientDemand demand) {
        node.tally().at(node.tally().came, nowMs);
        if (isCounted(demand)) {
            node.tally().asked[demand.requestClass]++;
        }
    }

    /** A client sends a request, unless its deadline is too near or it has sent too many. */
    void onReturn(double nowMs, ClientDemand demand) {
        double deadlineMs =
                world.scenario.requestClasses().get(demand.requestClass).deadlineMs();
        double leftMs = demand.firstRequestMs + deadlineMs - nowMs;
        if (leftMs < LEAST_LEFT_MS || demand.requestCount >= model.maxRequests()) {
            pause(nowMs, demand);
        } else if (!node.takes()) {
            node.elsewhere(demand, nowMs + NO_NODE_MS);
        } else {
            demand.requestCount++;
            node.asked(demand, Math.min(leftMs, deadlineMs * model.requestTimeoutShare()));
        }
    }

    /** After too many failures a client pauses for long before it begins anew. */
    private void pause(double nowMs, ClientDemand demand) {
        if (isCounted(demand)) {
            node.tally().lost[demand.requestClass]++;
        }
        beginAnew(nowMs + model.pauseMs() * (0.5 + random.nextDouble()), demand);
    }

    /** A client leaves for good; its demand counts as not served. */
    public void leavesForGood() {
        node.tally().left++;
    }

    private void beginAnew(double atMs, ClientDemand demand) {
        if (atMs < demand.wantedUntilMs) {
            demand.requestCount = 0;
            demand.firstRequestMs = atMs;
            countRequest(atMs, demand);
            node.elsewhere(demand, atMs);
        }
    }

    /** The time in which a request's answer counts is over. */
    void onAnswerDue(double nowMs, ClientRequest request) {
        if (node.unanswered(request)) {
            again(nowMs, request.demand, backoffMs(request.demand));
        }
    }

    /** Exponential backoff with jitter. */
    private double backoffMs(ClientDemand demand) {
        double longestMs = Math.min(
                model.maxBackoffMs(), model.initialBackoffMs() * Math.pow(2, Math.max(0, demand.requestCount - 1)));
        return longestMs * (0.5 + 0.5 * random.nextDouble());
    }

    /** A request was refused: a share of the clients obeys Retry-After, the others back off by themselves. */
    public void refused(double nowMs, ClientRequest request, double retryAfterMs) {
        boolean obeys = retryAfterMs > 0 && random.nextDouble() < model.retryAfterCompliance();
        double pauseMs = nowMs < impatientUntilMs
                ? model.initialBackoffMs() * random.nextDouble()
                : obeys ? retryAfterMs * (1 + 0.1 * random.nextDouble()) : backoffMs(request.demand);
        again(nowMs, request.demand, pauseMs);
    }

    /** A client sends another request after a pause, unless its deadline is too near or it has sent too many. */
    public void again(double nowMs, ClientDemand demand, double pauseMs) {
        double deadlineMs =
                world.scenario.requestClasses().get(demand.requestClass).deadlineMs();
        if (nowMs + pauseMs + LEAST_LEFT_MS > demand.firstRequestMs + deadlineMs
                || demand.requestCount >= model.maxRequests()) {
            pause(nowMs, demand);
        } else {
            node.elsewhere(demand, nowMs + pauseMs);
        }
    }

    /** A client has its connection; the time includes that of the answer to the client. */
    public void served(double nowMs, ClientRequest request) {
        ClientDemand demand = request.demand;
        double tookMs = nowMs + world.scenario.network().withinSiteMs() - demand.firstRequestMs;
        RequestClassSettings requestClass = world.scenario.requestClasses().get(demand.requestClass);
        node.tally().setupUs.recordValue(Math.min(LONGEST_SETUP_US, Math.round(tookMs * 1000)));
        if (isCounted(demand)) {
            (tookMs <= requestClass.latencyObjectiveMs() ? node.tally().inAim : node.tally().late)
                    [demand.requestClass]++;
        }
    }

    /** A connection broke or was migrated: its client reconnects for the rest of its demand. */
    public void returns(double nowMs, ClientRequest request) {
        request.demand.reconnecting = true;
        beginAnew(nowMs + model.reconnectDelayMs() * (0.5 + random.nextDouble()), request.demand);
    }
}
