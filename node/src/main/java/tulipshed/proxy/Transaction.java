package tulipshed.proxy;

import tulipshed.decision.BalancerApi.Effect;
import tulipshed.decision.BalancerApi.NewRequest;
import tulipshed.decision.BalancerApi.RepeatGroup;
import tulipshed.decision.BalancerApi.RequestClass;
import tulipshed.routing.Origin;
import tulipshed.time.Clock;

/** One request of a client for a connection, from its arrival to its end. */
public final class Transaction {
    /** How far it has come; the first answer is the last. */
    enum State {
        OWED,
        STANDING,
        ANSWERED
    }

    private final VirtualServer client;
    private final MemberConnector connector;
    private Origin origin;
    private Arrival arrival;
    private String pool;
    private final double deadlineMs;
    private final boolean standingBefore;
    private long id;
    private RequestClass kind;
    private double ranAtMs = Double.NaN;
    private int place = -1;
    private State state = State.OWED;
    private ServerSideFlow flow;
    private int attempts;
    private Dues.Due deadline;

    /** What the client asks for, in the terms of the settings; tenant -1 where there is none. */
    public record Arrival(
            int requestClass,
            int tenant,
            String key,
            String group,
            double waitMs,
            double hintUsPerS,
            boolean repeat,
            boolean returning) {}

    /**
     * A transaction that arrived at {@code nowMs}; {@code standingBefore} marks one whose connection stood at
     * a member before this node started, which no deadline ends.
     */
    public Transaction(
            VirtualServer client, MemberConnector connector, Arrival arrival, double nowMs, boolean standingBefore) {
        this(client, connector, arrival, Origin.UNKNOWN, nowMs, standingBefore);
    }

    /** One of which it is known where it came from. */
    public Transaction(
            VirtualServer client,
            MemberConnector connector,
            Arrival arrival,
            Origin origin,
            double nowMs,
            boolean standingBefore) {
        this.origin = origin;
        this.client = client;
        this.connector = connector;
        this.arrival = arrival;
        this.deadlineMs = nowMs + arrival.waitMs();
        this.standingBefore = standingBefore;
    }

    void number(long id) {
        this.id = id;
    }

    Origin origin() {
        return origin;
    }

    Arrival arrival() {
        return arrival;
    }

    /** What the rules made of it; its deadline stays. */
    void arrival(Arrival classified) {
        arrival = classified;
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
                || switch (kind.effect()) {
                    case REPEATABLE -> true;
                    case KEYED -> nowMs < ranAtMs + Clock.toMillis(kind.repeatWindowUs());
                    case ONCE -> false;
                };
    }

    /** Whether its client may be told that a repeat is harmless, also while an attempt is out. */
    boolean mayBeRefused() {
        return kind.effect() == Effect.REPEATABLE
                || kind.effect() == Effect.KEYED && kind.repeatGroup() == RepeatGroup.ALL
                || Double.isNaN(ranAtMs) && (flow == null || !flow.connected());
    }

    /** Where the other process of the node reads of it; below 0 where nowhere. */
    void place(int noted) {
        place = noted;
    }

    int place() {
        return place;
    }

    Companion.Standing standingAt(String member) {
        return new Companion.Standing(member, arrival.group(), arrival.hintUsPerS());
    }

    String className() {
        return kind.name();
    }

    long id() {
        return id;
    }

    int requestClass() {
        return arrival.requestClass();
    }

    NewRequest asRequest(double nowMs, int requestClass) {
        double left = Math.max(0, deadlineMs - nowMs);
        return new NewRequest(
                id,
                requestClass,
                arrival.tenant(),
                arrival.key(),
                arrival.group(),
                Clock.toMicros(left),
                arrival.hintUsPerS(),
                arrival.repeat(),
                false,
                arrival.returning(),
                pool);
    }

    MemberConnector connector() {
        return connector;
    }

    /** When the client gives up. */
    public double deadlineMs() {
        return deadlineMs;
    }

    /** Whether its connection stood at a member before this node took it. */
    public boolean stoodBefore() {
        return standingBefore;
    }

    /** Whether a final answer is still owed. */
    public boolean owed() {
        return state == State.OWED;
    }

    /** Whether its connection stands at a pool member. */
    public boolean standing() {
        return state == State.STANDING;
    }

    /** Where it came from matters to rules until it stands; there are many that stand. */
    void stand() {
        dropDeadline();
        origin = Origin.UNKNOWN;
        state = State.STANDING;
    }

    /** Nothing more is owed from here on. */
    void close() {
        dropDeadline();
        state = State.ANSWERED;
    }

    /** What looks at its deadline; of no use once it is answered. */
    void deadline(Dues.Due due) {
        deadline = due;
    }

    private void dropDeadline() {
        if (deadline != null) {
            deadline.drop();
            deadline = null;
        }
    }

    /** The flow that is out, or null; never more than one. */
    ServerSideFlow flow() {
        return flow;
    }

    void flow(ServerSideFlow flow) {
        this.flow = flow;
        if (flow != null) {
            attempts++;
        }
    }

    int attempts() {
        return attempts;
    }

    VirtualServer client() {
        return client;
    }
}
