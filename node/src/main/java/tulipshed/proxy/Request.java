package tulipshed.proxy;

import tulipshed.decision.BalancerApi.DeduplicationScope;
import tulipshed.decision.BalancerApi.Idempotency;
import tulipshed.decision.BalancerApi.NewRequest;
import tulipshed.decision.BalancerApi.RequestClass;
import tulipshed.routing.Origin;
import tulipshed.time.Clock;

/** One request of a client for a connection, from its arrival to its end. */
public final class Request {
    /** How far it has come; the first answer is the last. */
    enum State {
        PENDING,
        ESTABLISHED,
        ANSWERED
    }

    private final ClientConnection client;
    private final UpstreamConnector connector;
    private Origin origin;
    private Attributes attributes;
    private String pool;
    private final double deadlineMs;
    private final boolean standingBefore;
    private long id;
    private RequestClass kind;
    private double ranAtMs = Double.NaN;
    private int place = -1;
    private State state = State.PENDING;
    private Attempt attempt;
    private int attempts;
    private TimerQueue.Timer deadline;

    /** What the client asks for, in the terms of the settings; tenant -1 where there is none. */
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
     * A transaction that arrived at {@code nowMs}; {@code standingBefore} marks one whose connection stood at
     * a member before this node started, which no deadline ends.
     */
    public Request(
            ClientConnection client,
            UpstreamConnector connector,
            Attributes arrival,
            double nowMs,
            boolean standingBefore) {
        this(client, connector, arrival, Origin.UNKNOWN, nowMs, standingBefore);
    }

    /** One of which it is known where it came from. */
    public Request(
            ClientConnection client,
            UpstreamConnector connector,
            Attributes arrival,
            Origin origin,
            double nowMs,
            boolean standingBefore) {
        this.origin = origin;
        this.client = client;
        this.connector = connector;
        this.attributes = arrival;
        this.deadlineMs = nowMs + arrival.timeoutMs();
        this.standingBefore = standingBefore;
    }

    void number(long id) {
        this.id = id;
    }

    Origin origin() {
        return origin;
    }

    Attributes attributes() {
        return attributes;
    }

    /** What the rules made of it; its deadline stays. */
    void attributes(Attributes classified) {
        attributes = classified;
    }

    /** The pool that it is held to, or null. */
    String pool() {
        return pool;
    }

    void pool(String held) {
        pool = held;
    }

    /** Settings that change later leave an open transaction its own class. */
    void kind(RequestClass ofSettings) {
        kind = ofSettings;
    }

    /** An attempt that began then may have run. */
    void ran(double startedMs) {
        if (Double.isNaN(ranAtMs)) {
            ranAtMs = startedMs;
        }
    }

    /** Whether an attempt's bytes may go out now, as far as those before it may have run. */
    boolean mayRun(double nowMs) {
        return Double.isNaN(ranAtMs)
                || switch (kind.idempotency()) {
                    case IDEMPOTENT -> true;
                    case WITH_KEY -> nowMs < ranAtMs + Clock.toMillis(kind.deduplicationWindowUs());
                    case NOT_IDEMPOTENT -> false;
                };
    }

    /** Whether its client may be told that a repeat is harmless, also while an attempt is out. */
    boolean mayBeRefused() {
        return kind.idempotency() == Idempotency.IDEMPOTENT
                || (kind.idempotency() == Idempotency.WITH_KEY && kind.deduplicationScope() == DeduplicationScope.ALL)
                || (Double.isNaN(ranAtMs) && (attempt == null || !attempt.connected()));
    }

    /** Where the other process of the node reads of it; below 0 where nowhere. */
    void place(int noted) {
        place = noted;
    }

    int place() {
        return place;
    }

    HotRestartPeer.EstablishedConnection establishedAt(String member) {
        return new HotRestartPeer.EstablishedConnection(member, attributes.group(), attributes.loadHintUsPerS());
    }

    String className() {
        return kind.name();
    }

    long id() {
        return id;
    }

    int requestClass() {
        return attributes.requestClass();
    }

    NewRequest asRequest(double nowMs, int requestClass) {
        double left = Math.max(0, deadlineMs - nowMs);
        return new NewRequest(
                id,
                requestClass,
                attributes.tenant(),
                attributes.key(),
                attributes.group(),
                Clock.toMicros(left),
                attributes.loadHintUsPerS(),
                attributes.retry(),
                false,
                attributes.reconnecting(),
                pool);
    }

    UpstreamConnector connector() {
        return connector;
    }

    /** When the client gives up. */
    public double deadlineMs() {
        return deadlineMs;
    }

    /** Whether its connection stood at a member before this node took it. */
    public boolean isAdopted() {
        return standingBefore;
    }

    /** Whether a final answer is still owed. */
    public boolean isPending() {
        return state == State.PENDING;
    }

    /** Whether its connection stands at a pool member. */
    public boolean isEstablished() {
        return state == State.ESTABLISHED;
    }

    /** Where it came from matters to rules until it stands; there are many that stand. */
    void establish() {
        dropDeadline();
        origin = Origin.UNKNOWN;
        state = State.ESTABLISHED;
    }

    /** Nothing more is owed from here on. */
    void close() {
        dropDeadline();
        state = State.ANSWERED;
    }

    /** What looks at its deadline; of no use once it is answered. */
    void deadline(TimerQueue.Timer due) {
        deadline = due;
    }

    private void dropDeadline() {
        if (deadline != null) {
            deadline.cancel();
            deadline = null;
        }
    }

    /** The flow that is out, or null; never more than one. */
    Attempt attempt() {
        return attempt;
    }

    void attempt(Attempt attempt) {
        this.attempt = attempt;
        if (attempt != null) {
            attempts++;
        }
    }

    int attempts() {
        return attempts;
    }

    ClientConnection client() {
        return client;
    }
}
