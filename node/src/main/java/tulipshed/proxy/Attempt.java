package tulipshed.proxy;

/** One attempt of a transaction at one pool member. */
public final class Attempt {
    private final Request request;
    private final Endpoint endpoint;
    private final int number;
    private final double startedMs;
    private final double endsMs;
    private boolean connected;
    private boolean isEnded;
    private boolean leaving;
    private double upMs;
    private TimerQueue.Timer untilUp;
    private TimerQueue.Timer untilConnected;

    Attempt(Request transaction, Endpoint endpoint, int number, double startedMs, double endsMs) {
        this.request = transaction;
        this.endpoint = endpoint;
        this.number = number;
        this.startedMs = startedMs;
        this.endsMs = endsMs;
    }

    public Request request() {
        return request;
    }

    public Endpoint endpoint() {
        return endpoint;
    }

    /** What looks whether it has come up, and whether it is connected; of no use once it is up or over. */
    void waits(TimerQueue.Timer up, TimerQueue.Timer connected) {
        untilUp = up;
        untilConnected = connected;
    }

    private void dropWaits() {
        if (untilUp != null) {
            untilUp.cancel();
            untilUp = null;
        }
        if (untilConnected != null) {
            untilConnected.cancel();
            untilConnected = null;
        }
    }

    int number() {
        return number;
    }

    /** How long the node will still wait for this flow to come up. */
    public double remainingWaitMs(double nowMs) {
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

    boolean isEnded() {
        return isEnded;
    }

    void end() {
        isEnded = true;
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
