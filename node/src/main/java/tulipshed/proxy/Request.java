package tulipshed.proxy;

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
     * A request of unknown origin that arrives at {@code nowMs}.
     *
     * @param adopted whether its connection was established before this node started; no deadline ends such a request
     */
    public Request(
            ClientConnection client,
            UpstreamConnector connector,
            RequestParameters parameters,
            double nowMs,
            boolean adopted) {
        this(client, connector, parameters, RequestOrigin.UNKNOWN, nowMs, adopted);
    }

    /** A request of known origin; otherwise as the other constructor. */
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
    RequestParameters parameters() {
        return parameters;
    }

    /** Replaces the parameters by what the routing rules made of them; the deadline does not change. */
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

    /** Fixes the class; a later change of the settings leaves an open request its own. */
    void setRequestClass(RequestClass fixed) {
        execution.setRequestClass(fixed);
    }

    /** The name of the class that was fixed at the arrival. */
    String className() {
        return execution.requestClass().name();
    }

    /** Records that an attempt which started then may have executed; only the first one counts. */
    void recordExecution(double startedMs) {
        execution.recordExecution(startedMs);
    }

    /** Whether an attempt may be forwarded now, given that earlier ones may have executed. */
    boolean mayForward(double nowMs) {
        return execution.permitsForwarding(nowMs);
    }

    /** Whether a rejection, which promises that a retry is harmless, is a correct response, also while an attempt is open. */
    boolean mayBeRejected() {
        return execution.permitsRejection(attempt != null && attempt.isConnected());
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

    /** The request as the decision module is notified of it at {@code nowMs}. */
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
