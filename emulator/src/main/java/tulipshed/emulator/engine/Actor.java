package tulipshed.emulator.engine;

/**
 * One part of the emulated world: a node, a pool member, discovery. It owns its state; all that others learn of it they
 * learn from messages, so parts may run at the same time.
 */
public abstract class Actor {
    private final int id;
    private Shard shard;
    private long sent;
    private long seen;

    /** A part by a number of its own, which orders what arrives at the same moment. */
    protected Actor(int id) {
        this.id = id;
    }

    public final int id() {
        return id;
    }

    final void on(Shard where) {
        shard = where;
    }

    final Shard shard() {
        return shard;
    }

    /** What arrives, in the order of time. */
    protected abstract void take(double nowMs, Message message);

    final void handle(Message m) {
        // Order matters within a part and must not between parts: the sum of these over parts tells two runs apart.
        seen = (seen ^ Double.doubleToLongBits(m.atMs) ^ (long) m.kind << 48 ^ m.from) * 0x9E3779B97F4A7C15L;
        seen ^= seen >>> 32;
        take(m.atMs, m);
    }

    final long seen() {
        return seen;
    }

    /** Sends to another part; at least the engine's window must lie between. */
    protected final void send(double atMs, Actor to, int kind, Object what, double value) {
        shard.send(new Message(atMs, to, id, sent++, kind, what, value));
    }

    /** Reminds itself of something, at any time from now on. */
    protected final void remind(double atMs, int kind, Object what, double value) {
        shard.remind(new Message(atMs, this, id, sent++, kind, what, value));
    }

    /** The shard on which it runs, by number: where what may be added up in any order is kept. */
    protected final int shardNumber() {
        return shard.number();
    }
}
