package tulipshed.emulator.engine;

/** Something that arrives at a part at a moment. Messages of one moment come in the order of sender and number. */
public final class Message implements Comparable<Message> {
    final double atMs;
    final Actor to;
    final int from;
    final long number;
    /** What it is, in the terms of the part that it goes to. */
    public final int kind;
    /** What it is about; null where nothing. */
    public final Object what;
    /** A figure that goes with it. */
    public final double value;

    Message(double atMs, Actor to, int from, long number, int kind, Object what, double value) {
        this.atMs = atMs;
        this.to = to;
        this.from = from;
        this.number = number;
        this.kind = kind;
        this.what = what;
        this.value = value;
    }

    /** The number of the part that sent it. */
    public int from() {
        return from;
    }

    @Override
    public int compareTo(Message o) {
        int c = Double.compare(atMs, o.atMs);
        if (c == 0) {
            c = Integer.compare(to.id(), o.to.id());
        }
        if (c == 0) {
            c = Integer.compare(from, o.from);
        }
        return c != 0 ? c : Long.compare(number, o.number);
    }
}
