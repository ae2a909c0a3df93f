package tulipshed.proxy;

import tulipshed.decision.api.NewRequest;
import tulipshed.decision.api.RequestClass;
import tulipshed.routing.RequestOrigin;
import tulipshed.time.Clock;

/** A client's request for a connection, from its arrival to the end of the connection. Confined to the event-loop thread. */
public final class Request {
    private static final int NO_HOT_RESTART_SLOT = -1;

    /** The progress towards the single final response. */
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
    private RequestParameters parameters;
    private String pool;
    /** 0 until {@link #assignId}. */
    private long id;

    private final ExecutionRecord execution = new ExecutionRecord();
    private State state = State.PENDING;
    private Attempt attempt;
    private int attemptCount;

    private int hotRestartSlot = NO_HOT_RESTART_SLOT;
    private TimerQueue.Timer deadlineTimer;

    /**
     * Creates a request of unknown origin that arrives at {@code nowMs}.
     *
     * @param adopted whether its connection was established before this node started; its deadline does not end such a request
     */
    public Request(
            ClientConnection client,
            UpstreamConnector connector,
            RequestParameters parameters,
            double nowMs,
            boolean adopted) {
        this(client, connector, parameters, RequestOrigin.UNKNOWN, nowMs, adopted);
    }

    /** Creates a request of known origin; the other parameters are as above. */
    public Request(
            ClientConnection client,
            UpstreamConnector connector,
            RequestParameters parameters,
            RequestOrigin origin,
            double nowMs,
            boolean adopted) {
        this.origin = origin;
        this.client = client;
        this.connector = connector;
        this.parameters = parameters;
        this.deadlineMs = nowMs + parameters.timeoutMs();
        this.adopted = adopted;
    }

    /** Sets the id that identifies this request to the decision module. */
    void assignId(long assigned) {
        id = assigned;
    }

    /** The id, 0 if none has been assigned yet. */
    long id() {
        return id;
    }

    /** Whether the decision module has been, or is about to be, notified of this request. */
    boolean hasId() {
        return id != 0;
    }

    /** The origin of the request; unknown once it is established. */
    RequestOrigin origin() {
        return origin;
    }

    /** The parameters of the request, as classified by the routing rules. */
    RequestParameters parameters() {
        return parameters;
    }

    /** Replaces the parameters with those that the routing rules assign; the deadline does not change. */
    void setParameters(RequestParameters classified) {
        parameters = classified;
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
        return parameters.requestClass();
    }

    /** Sets the class, which the request keeps when the settings change. */
    void setRequestClass(RequestClass assigned) {
        execution.setRequestClass(assigned);
    }

    /** The name of the class at arrival. */
    String className() {
        return execution.requestClass().name();
    }

    /** Records that the attempt started at {@code startedMs} may have executed; only the first such attempt is kept. */
    void recordExecution(double startedMs) {
        execution.recordExecution(startedMs);
    }

    /** Whether another attempt may be forwarded now without the risk of a second execution that the class forbids. */
    boolean mayForward(double nowMs) {
        return execution.permitsForwarding(nowMs);
    }

    /** Whether the request may be rejected, even with an open attempt; a rejection promises that a retry is harmless. */
    boolean mayBeRejected() {
        return execution.permitsRejection(attempt != null && attempt.isConnected());
    }

    /**
     * Whether the same request must not be forwarded again, even if its client sends it a second time: it may have executed,
     * or its open attempt may be executing, and its class is not idempotent.
     */
    public boolean forbidsRepetition() {
        return execution.forbidsRepetition(attempt != null && attempt.isConnected());
    }

    /** Sets the slot in which this connection is published to the other process of a hot restart; negative for none. */
    void setHotRestartSlot(int slot) {
        hotRestartSlot = slot;
    }

    /** Whether this connection is published to the other process of a hot restart. */
    boolean hasHotRestartSlot() {
        return hotRestartSlot >= 0;
    }

    /** The slot in which this connection is published to the other process of a hot restart; negative for none. */
    int hotRestartSlot() {
        return hotRestartSlot;
    }

    /** The description of this request that the decision module receives at {@code nowMs}. */
    NewRequest toNewRequest(double nowMs, int settingsClassIndex) {
        double remainingMs = Math.max(0, deadlineMs - nowMs);
        return new NewRequest(
                id,
                settingsClassIndex,
                parameters.tenant(),
                parameters.key(),
                parameters.group(),
                Clock.toMicros(remainingMs),
                parameters.loadHintUsPerS(),
                parameters.retry(),
                false,
                parameters.reconnecting(),
                pool);
    }

    /** The connector that opens the attempts of this request. */
    UpstreamConnector connector() {
        return connector;
    }

    /** The client's side of the connection. */
    ClientConnection client() {
        return client;
    }

    /** The time at which the client stops waiting, in milliseconds on the clock of the core. */
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

    /** Records that the connection is established, and releases the origin, which only the routing of arrivals needs. */
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

    /** Sets the deadline timer, which is cancelled once the request is no longer pending. */
    void setDeadlineTimer(TimerQueue.Timer timer) {
        deadlineTimer = timer;
    }

    private void cancelDeadlineTimer() {
        if (deadlineTimer != null) {
            deadlineTimer.cancel();
            deadlineTimer = null;
        }
    }

    /** The open attempt, of which there is at most one; null if there is none. */
    Attempt attempt() {
        return attempt;
    }

    /** Sets and counts the open attempt. */
    void setOpenAttempt(Attempt opened) {
        attempt = opened;
        attemptCount++;
    }

    /** Clears the open attempt. */
    void clearOpenAttempt() {
        attempt = null;
    }

    /** The number of attempts so far, including the open one. */
    int attemptCount() {
        return attemptCount;
    }
}
