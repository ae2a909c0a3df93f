package tulipshed.emulator.engine;

/**
 * A sequential part of a simulation with state of its own. Actors learn of each other by messages only, so the engine may
 * run them at the same time.
 *
 * @param <P> the payloads that it receives
 */
public abstract class Actor<P extends Payload> {
    private static final long TRACE_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final int id;
    private Shard shard;
    private long sentMessages;
    private long trace;

    /**
     * Creates an actor.
     *
     * @param id unique within an engine; orders messages that are delivered at the same moment
     */
    protected Actor(int id) {
        this.id = id;
    }

    /** The actor's number, unique within its engine. */
    public final int id() {
        return id;
    }

    final void assignTo(Shard assigned) {
        shard = assigned;
    }

    final Shard shard() {
        return shard;
    }

    /**
     * Handles one message. Messages arrive in the order of their delivery times.
     *
     * @param nowMs the virtual time in milliseconds
     */
    protected abstract void receive(double nowMs, P payload);

    final void handle(Message<P> message) {
        // Order matters within an actor but not between actors: the sum over all actors tells two runs apart.
        trace = (trace
                        ^ Double.doubleToLongBits(message.deliveryMs)
                        ^ (long) message.payload.traceCode() << 48
                        ^ message.senderId)
                * TRACE_MULTIPLIER;
        trace ^= trace >>> 32;
        receive(message.deliveryMs, message.payload);
    }

    /** A hash of all messages received so far, in their order. */
    final long trace() {
        return trace;
    }

    /**
     * Sends a payload to another actor.
     *
     * @param deliveryMs virtual time of delivery in milliseconds, at least the engine's window after now
     * @throws IllegalStateException if the delivery is within the present window
     */
    protected final <Q extends Payload> void send(double deliveryMs, Actor<Q> receiver, Q payload) {
        shard.send(new Message<>(deliveryMs, receiver, id, sentMessages++, payload));
    }

    /**
     * Sends a payload to this actor itself.
     *
     * @param deliveryMs virtual time of delivery in milliseconds, now or later
     * @throws IllegalStateException if the delivery is in the past
     */
    protected final void schedule(double deliveryMs, P payload) {
        shard.schedule(new Message<>(deliveryMs, this, id, sentMessages++, payload));
    }

    /** The number of the shard, and so of the thread, that runs this actor; from 0. */
    protected final int shardNumber() {
        return shard.number();
    }
}
