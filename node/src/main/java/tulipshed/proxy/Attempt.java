package tulipshed.proxy;

/** One attempt to establish a request's connection at one endpoint. Confined to the event-loop thread. */
public final class Attempt {
    private final Request request;
    private final Endpoint endpoint;
    private final int number;
    private final double startedMs;
    private final double establishByMs;
    private boolean connected;
    private boolean ended;
    private boolean draining;
    private double establishedMs;
    /** Null once the attempt is established or has ended. */
    private TimerQueue.Timer establishmentTimer;
    /** Null for adopted connections, and once the attempt is established or has ended. */
    private TimerQueue.Timer connectTimer;

    /** Creates an attempt, numbered from 0 within its request, that must be established by {@code establishByMs}. */
    Attempt(Request request, Endpoint endpoint, int number, double startedMs, double establishByMs) {
        this.request = request;
        this.endpoint = endpoint;
        this.number = number;
        this.startedMs = startedMs;
        this.establishByMs = establishByMs;
    }

    /** The request that this attempt serves. */
    public Request request() {
        return request;
    }

    /** The endpoint of this attempt. */
    public Endpoint endpoint() {
        return endpoint;
    }

    /** Sets the timers to cancel once the attempt is established or has ended; either may be null. */
    void setTimers(TimerQueue.Timer establish, TimerQueue.Timer connect) {
        establishmentTimer = establish;
        connectTimer = connect;
    }

    private void cancelTimers() {
        if (establishmentTimer != null) {
            establishmentTimer.cancel();
            establishmentTimer = null;
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

    /** The remaining time for this attempt to be established, in milliseconds; not negative. */
    public double remainingWaitMs(double nowMs) {
        return Math.max(0, establishByMs - nowMs);
    }

    /** The start time in milliseconds, on the clock of the core. */
    double startedMs() {
        return startedMs;
    }

    /** The time by which the attempt must be established, in milliseconds on the clock of the core. */
    double establishByMs() {
        return establishByMs;
    }

    /** Whether the attempt has been connected; from then on the endpoint may have executed the request. */
    boolean isConnected() {
        return connected;
    }

    /** Records that the attempt is connected. */
    void markConnected() {
        connected = true;
    }

    /** Whether the attempt has ended. */
    boolean isEnded() {
        return ended;
    }

    /** Records the end of the attempt and cancels its timers. */
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

    /** The time at which the attempt was established, 0 before that. */
    double establishedMs() {
        return establishedMs;
    }

    /** Records that the endpoint serves the attempt, and cancels its timers. */
    void markEstablished(double nowMs) {
        cancelTimers();
        establishedMs = nowMs;
    }
}
