package tulipshed.proxy;

/** One attempt of a transaction at one pool member. */
public final class ServerSideFlow {
    private final Transaction transaction;
    private final PoolMember member;
    private final int number;
    private final double startedMs;
    private final double endsMs;
    private boolean connected;
    private boolean over;
    private boolean leaving;
    private double upMs;
    private Dues.Due untilUp;
    private Dues.Due untilConnected;

    ServerSideFlow(Transaction transaction, PoolMember member, int number, double startedMs, double endsMs) {
        this.transaction = transaction;
        this.member = member;
        this.number = number;
        this.startedMs = startedMs;
        this.endsMs = endsMs;
    }

    public Transaction transaction() {
        return transaction;
    }

    public PoolMember member() {
        return member;
    }

    /** What looks whether it has come up, and whether it is connected; of no use once it is up or over. */
    void waits(Dues.Due up, Dues.Due connected) {
        untilUp = up;
        untilConnected = connected;
    }

    private void dropWaits() {
        if (untilUp != null) {
            untilUp.drop();
            untilUp = null;
        }
        if (untilConnected != null) {
            untilConnected.drop();
            untilConnected = null;
        }
    }

    int number() {
        return number;
    }

    /** How long the node will still wait for this flow to come up. */
    public double waitLeftMs(double nowMs) {
        return Math.max(0, endsMs - nowMs);
    }

    double startedMs() {
        return startedMs;
    }

    double endsMs() {
        return endsMs;
    }

    boolean connected() {
        return connected;
    }

    void connect() {
        connected = true;
    }

    boolean over() {
        return over;
    }

    void end() {
        over = true;
        dropWaits();
    }

    /** Whether it is about to leave a member that drains. */
    boolean leaving() {
        return leaving;
    }

    void leave() {
        leaving = true;
    }

    double upMs() {
        return upMs;
    }

    void up(double nowMs) {
        dropWaits();
        upMs = nowMs;
    }
}
