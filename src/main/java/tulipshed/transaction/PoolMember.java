package tulipshed.transaction;

import java.net.InetSocketAddress;
import tulipshed.decision.BalancerApi.ServerEntry;
import tulipshed.decision.BalancerApi.ServerState;

/** One pool member as the list last told of it. */
public final class PoolMember {
    private final String id;
    private InetSocketAddress address;
    private ServerState state = ServerState.GONE;
    private double fastestReplyMs = Double.MAX_VALUE;
    private double slowToldAtMs = Double.NEGATIVE_INFINITY;
    private boolean slowTold;

    PoolMember(String id) {
        this.id = id;
    }

    void update(ServerEntry entry, InetSocketAddress address) {
        state = entry.state();
        this.address = address;
    }

    void gone() {
        state = ServerState.GONE;
    }

    public String id() {
        return id;
    }

    /** Where it listens for this node. */
    public InetSocketAddress address() {
        return address;
    }

    /** Whether the list last named it as serving. */
    public boolean serving() {
        return state == ServerState.SERVING;
    }

    /**
     * Takes one reply's time and returns what of it is the member's own: the way there and back, which the
     * fastest reply seen stands for, says nothing of its load.
     */
    double ownDelayMs(double replyMs) {
        fastestReplyMs = Math.min(fastestReplyMs, replyMs);
        return replyMs - fastestReplyMs;
    }

    /** Whether this delay is news: once a second while above the bound, and once when back under it. */
    boolean isNews(double nowMs, double delayMs, double boundMs, double everyMs) {
        boolean slow = delayMs > boundMs;
        if (slow ? nowMs - slowToldAtMs < everyMs : !slowTold) {
            return false;
        }
        slowToldAtMs = nowMs;
        slowTold = slow;
        return true;
    }
}
