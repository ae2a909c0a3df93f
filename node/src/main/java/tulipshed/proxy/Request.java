package tulipshed.proxy;

import tulipshed.decision.api.DeduplicationScope;
import tulipshed.decision.api.Idempotency;
import tulipshed.decision.api.NewRequest;
import tulipshed.decision.api.RequestClass;
import tulipshed.routing.RequestOrigin;
import tulipshed.time.Clock;

/** A client's request for a connection, from its arrival to the end of the connection. Confined to the event-loop thread. */
public final class Request {
    private static final int NO_HOT_RESTART_SLOT = -1;

    /** Progress towards the final response, of which there is one. */
    enum State {
        PENDING,
        ESTABLISHED,
        COMPLETED
    }

    private final ClientConnection client;
    private final UpstreamConnector connector;
    private final double deadlineMs;
    private final boolean adopted;
    private RequestOrigin origin;
    private Attributes attributes;
    private String pool;
    /** 0 until {@link #assignId}. */
    private long id;

    private RequestClass requestClass;
    private State state = State.PENDING;
    private Attempt attempt;
    private int attemptCount;
    /** When the first attempt started that may have executed; NaN where none may have. */
    private double executedMs = Double.NaN;

    private int hotRestartSlot = NO_HOT_RESTART_SLOT;
    private TimerQueue.Timer deadlineTimer;

    /**
     * What the client asks for, in the terms of the settings.
     *
     * @param requestClass index of the class in the settings
     * @param tenant index of the tenant in the settings, -1 where there is none
     * @param key the idempotency key
     * @param group the affinity group, null where there is none
     * @param timeoutMs how long the client waits for a final response
     * @param loadHintUsPerS expected load in microseconds of work per second, 0 where the client gave none
     * @param retry whether the client has sent this request before
     * @param reconnecting whether the client comes back after its connection was migrated
     */
    public record Attributes(
            int requestClass,
            int tenant,
            String key,
            String group,
            double timeoutMs,
            double loadHintUsPerS,
            boolean retry,
            boolean reconnecting) {}

    /**
     * A request of unknown origin that arrives at {@code nowMs}.
     *
     * @param adopted whether its connection was established before this node started; no deadline ends such a request
     */
    public Request(
            ClientConnection client,
            UpstreamConnector connector,
            Attributes attributes,
            double nowMs,
            boolean adopted) {
        this(client, connector, attributes, RequestOrigin.UNKNOWN, nowMs, adopted);
    }

    /** A request of known origin; otherwise as the other constructor. */
    public Request(
            ClientConnection client,
            UpstreamConnector connector,
            Attributes attributes,
            RequestOrigin origin,
            double nowMs,
            boolean adopted) {
        this.origin = origin;
        this.client = client;
        this.connector = connector;
        this.attributes = attributes;
        this.deadlineMs = nowMs + attributes.timeoutMs();
        this.adopted = adopted;
    }

    /** Sets the id by which the decision module knows this request. */
    void assignId(long assigned) {
        id = assigned;
    }

    /** The id, 0 where none has been assigned yet. */
    long id() {
        return id;
    }

    /** Whether the decision module has been, or is about to be, notified of this request. */
    boolean hasId() {
        return id != 0;
    }

    /** Where the request came from; unknown once it is established. */
    RequestOrigin origin() {
        return origin;
    }

    /** What the client asks for, as classified. */
    Attributes attributes() {
        return attributes;
    }

    /** Replaces the attributes by what the routing rules made of them; the deadline does not change. */
    void setAttributes(Attributes classified) {
        attributes = classified;
    }

    /** The pool that must serve the request, null for any endpoint. */
    String pool() {
        return pool;
    }

    /** Sets the pool that must serve the request, null for any endpoint. */
    void assignPool(String assigned) {
        pool = assigned;
    }

    /** Index of the class in the settings under which the request arrived. */
    int classIndex() {
        return attributes.requestClass();
    }

    /** Fixes the class; a later change of the settings leaves an open request its own. */
    void setRequestClass(RequestClass fixed) {
        requestClass = fixed;
    }

    /** The name of the class that was fixed at the arrival. */
    String className() {
        return requestClass.name();
    }

    /** Records that an attempt which started then may have executed; only the first one counts. */
    void recordExecution(double startedMs) {
        if (Double.isNaN(executedMs)) {
            executedMs = startedMs;
        }
    }

    private boolean mayHaveExecuted() {
        return !Double.isNaN(executedMs);
    }

    /** Whether an attempt may be forwarded now, given that earlier ones may have executed. */
    boolean mayForward(double nowMs) {
        return !mayHaveExecuted()
                || switch (requestClass.idempotency()) {
                    case IDEMPOTENT -> true;
                    case WITH_KEY -> nowMs < executedMs + Clock.toMillis(requestClass.deduplicationWindowUs());
                    case NOT_IDEMPOTENT -> false;
                };
    }

    /** Whether a rejection, which promises that a retry is harmless, is a correct response, also while an attempt is open. */
    boolean mayBeRejected() {
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.WITH_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL)
                || (!mayHaveExecuted() && (attempt == null || !attempt.isConnected()));
    }

    /** Sets the slot in which the other process of a hot restart finds this connection; below 0 for none. */
    void setHotRestartSlot(int slot) {
        hotRestartSlot = slot;
    }

    /** Whether the other process of a hot restart was notified of this connection. */
    boolean hasHotRestartSlot() {
        return hotRestartSlot >= 0;
    }

    /** The slot in which the other process of a hot restart finds this connection; below 0 for none. */
    int hotRestartSlot() {
        return hotRestartSlot;
    }

    /** This connection, established at that endpoint, as the other process of a hot restart is notified of it. */
    HotRestartPeer.EstablishedConnection connectionAt(String endpointId) {
        return new HotRestartPeer.EstablishedConnection(endpointId, attributes.group(), attributes.loadHintUsPerS());
    }

    /** The request as the decision module is notified of it at {@code nowMs}. */
    NewRequest toNewRequest(double nowMs, int settingsClassIndex) {
        double remainingMs = Math.max(0, deadlineMs - nowMs);
        return new NewRequest(
                id,
                settingsClassIndex,
                attributes.tenant(),
                attributes.key(),
                attributes.group(),
                Clock.toMicros(remainingMs),
                attributes.loadHintUsPerS(),
                attributes.retry(),
                false,
                attributes.reconnecting(),
                pool);
    }

    /** What opens the attempts of this request. */
    UpstreamConnector connector() {
        return connector;
    }

    /** The client's side of the connection. */
    ClientConnection client() {
        return client;
    }

    /** When the client stops waiting, on the clock of the core. */
    public double deadlineMs() {
        return deadlineMs;
    }

    /** Whether the connection was established at an endpoint before this node started. */
    public boolean isAdopted() {
        return adopted;
    }

    /** Whether the request has no final response yet. */
    public boolean isPending() {
        return state == State.PENDING;
    }

    /** Whether the connection is established at an endpoint. */
    public boolean isEstablished() {
        return state == State.ESTABLISHED;
    }

    /** Records that the connection is established. The origin, which only rules for arrivals use, is released. */
    void markEstablished() {
        cancelDeadlineTimer();
        origin = RequestOrigin.UNKNOWN;
        state = State.ESTABLISHED;
    }

    /** Records that the request has its final response, or needs none. */
    void complete() {
        cancelDeadlineTimer();
        state = State.COMPLETED;
    }

    /** Sets the timer of the deadline, which is cancelled once the request is no longer pending. */
    void setDeadlineTimer(TimerQueue.Timer timer) {
        deadlineTimer = timer;
    }

    private void cancelDeadlineTimer() {
        if (deadlineTimer != null) {
            deadlineTimer.cancel();
            deadlineTimer = null;
        }
    }

    /** The open attempt, or null; there is one at most. */
    Attempt attempt() {
        return attempt;
    }

    /** Sets and counts the open attempt. */
    void openAttempt(Attempt opened) {
        attempt = opened;
        attemptCount++;
    }

    /** Clears the open attempt. */
    void closeAttempt() {
        attempt = null;
    }

    /** How many attempts there have been, the open one included. */
    int attemptCount() {
        return attemptCount;
    }
}
