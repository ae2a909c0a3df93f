package tulipshed.emulator.invariants;

import java.util.EnumMap;
import java.util.Map;

/** How often each rule was broken, how much was checked, and the first breach of each with what led to it. */
public final class InvariantReport {
    /** The first breach of a rule. */
    public record Breach(double atMs, int where, String what) {}

    private final long[] broken = new long[Invariant.values().length];
    private final Map<Invariant, Breach> first = new EnumMap<>(Invariant.class);
    private long answers;
    private long sent;

    /** A rule was broken at a node or member, by number. */
    public void broken(Invariant rule, double atMs, int where, String what) {
        broken[rule.ordinal()]++;
        keep(rule, new Breach(atMs, where, what));
    }

    void answer() {
        answers++;
    }

    void send() {
        sent++;
    }

    private void keep(Invariant rule, Breach b) {
        Breach had = first.get(rule);
        if (had == null || b.atMs() < had.atMs() || (b.atMs() == had.atMs() && b.where() < had.where())) {
            first.put(rule, b);
        }
    }

    /** Adds what another has found; in whichever order, the sum is the same. */
    public void add(InvariantReport other) {
        for (int i = 0; i < broken.length; i++) {
            broken[i] += other.broken[i];
        }
        other.first.forEach(this::keep);
        answers += other.answers;
        sent += other.sent;
    }

    public long broken(Invariant rule) {
        return broken[rule.ordinal()];
    }

    public long broken() {
        long sum = 0;
        for (long b : broken) {
            sum += b;
        }
        return sum;
    }

    /** The first breach of a rule, or null. */
    public Breach first(Invariant rule) {
        return first.get(rule);
    }

    /** Final answers and flows that were looked at: rules that nothing was held to prove nothing. */
    public long checked() {
        return answers + sent;
    }

    @Override
    public String toString() {
        StringBuilder out = new StringBuilder();
        for (Invariant r : Invariant.values()) {
            out.append(r.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'))
                    .append(' ')
                    .append(broken(r))
                    .append('\n');
            if (first.get(r) != null) {
                out.append("  first at ")
                        .append(Math.round(first.get(r).atMs()))
                        .append(" ms: ")
                        .append(first.get(r).what())
                        .append('\n');
            }
        }
        return out.toString();
    }
}
