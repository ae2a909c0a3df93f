package tulipshed.proxy;

/** One attempt to establish a request's connection at one endpoint. Confined to the event-loop thread. */
public final class Attempt {
    private final Request request;
    private final Endpoint endpoint;
    private final int number;
    private final double startedMs;
    private final double endsMs;
    private boolean connected;
    private boolean ended;
    private boolean draining;
    private double establishedMs;
    /** Null once the attempt is established or has ended. */
    private TimerQueue.Timer establishTimer;
    /** Null for adopted connections, and once the attempt is established or has ended. */
    private TimerQueue.Timer connectTimer;

    /** An attempt, numbered from 0 within its request, that must be established by {@code endsMs}. */
    Attempt(Request request, Endpoint endpoint, int number, double startedMs, double endsMs) {
        this.request = request;
        this.endpoint = endpoint;
        this.number = number;
        this.startedMs = startedMs;
        this.endsMs = endsMs;
    }

    /** The request that this attempt serves. */
    public Request request() {
        return request;
    }

    /** Where the attempt goes. */
    public Endpoint endpoint() {
        return endpoint;
    }

    /** Sets the timers that are cancelled once the attempt is established or has ended; either may be null. */
    void setTimers(TimerQueue.Timer establish, TimerQueue.Timer connect) {
        establishTimer = establish;
        connectTimer = connect;
    }

    private void cancelTimers() {
        if (establishTimer != null) {
            establishTimer.cancel();
            establishTimer = null;
        }
        if (connectTimer != null) {
            connectTimer.cancel();
            connectTimer = null;
        }
    }

    /** The position among the attempts of the request, from 0. */
    int number() {
        return number;
    }

    /** How long the node still waits for this attempt to be established, in milliseconds; not below 0. */
    public double remainingWaitMs(double nowMs) {
        return Math.max(0, endsMs - nowMs);
    }

    /** When the attempt started, on the clock of the core. */
    double startedMs() {
        return startedMs;
    }

    /** When the attempt ends unless it is established by then. */
    double endsMs() {
        return endsMs;
    }

    /** Whether its connection has been up: from then on the endpoint may have executed the request. */
    boolean isConnected() {
        return connected;
    }

    /** Records that its connection is up. */
    void markConnected() {
        connected = true;
    }

    /** Whether the attempt has ended. */
    boolean isEnded() {
        return ended;
    }

    /** Records the end of the attempt, which needs its timers no more. */
    void markEnded() {
        ended = true;
        cancelTimers();
    }

    /** Whether the attempt is scheduled to leave its draining endpoint. */
    boolean isDraining() {
        return draining;
    }

    /** Records that the attempt is scheduled to leave its draining endpoint. */
    void markDraining() {
        draining = true;
    }

    /** When the attempt was established, 0 before. */
    double establishedMs() {
        return establishedMs;
    }

    /** Records that the endpoint serves the attempt, which needs its timers no more. */
    void markEstablished(double nowMs) {
        cancelTimers();
        establishedMs = nowMs;
    }
}
