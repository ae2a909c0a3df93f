package tulipshed.emulator.invariants;

import java.util.EnumMap;
import java.util.Map;

/** Counts the violations of each invariant and what was checked, and keeps the first violation of each. */
public final class InvariantReport {
    private final long[] violations = new long[Invariant.values().length];
    private final Map<Invariant, Violation> first = new EnumMap<>(Invariant.class);
    private long answers;
    private long attempts;

    /**
     * Records a violation.
     *
     * @param where index of the node or endpoint
     */
    public void record(Invariant invariant, double atMs, int where, String what) {
        violations[invariant.ordinal()]++;
        keepFirst(invariant, new Violation(atMs, where, what));
    }

    void countAnswer() {
        answers++;
    }

    void countAttempt() {
        attempts++;
    }

    private void keepFirst(Invariant invariant, Violation violation) {
        Violation earlier = first.get(invariant);
        if (earlier == null
                || violation.atMs() < earlier.atMs()
                || (violation.atMs() == earlier.atMs() && violation.where() < earlier.where())) {
            first.put(invariant, violation);
        }
    }

    /** Adds another report; the sum does not depend on the order. */
    public void add(InvariantReport other) {
        for (int i = 0; i < violations.length; i++) {
            violations[i] += other.violations[i];
        }
        other.first.forEach(this::keepFirst);
        answers += other.answers;
        attempts += other.attempts;
    }

    /** The number of violations of one invariant. */
    public long violations(Invariant invariant) {
        return violations[invariant.ordinal()];
    }

    /** The number of violations of all invariants. */
    public long violations() {
        long sum = 0;
        for (long count : violations) {
            sum += count;
        }
        return sum;
    }

    /** The first violation of an invariant, or null. */
    public Violation firstViolation(Invariant invariant) {
        return first.get(invariant);
    }

    /** The number of final answers and attempts that were checked: a run without any proves nothing. */
    public long checkCount() {
        return answers + attempts;
    }

    /** A line for each invariant with its violations, and one for its first violation. */
    @Override
    public String toString() {
        StringBuilder out = new StringBuilder();
        for (Invariant invariant : Invariant.values()) {
            out.append(invariant.label())
                    .append(' ')
                    .append(violations(invariant))
                    .append('\n');
            Violation violation = first.get(invariant);
            if (violation != null) {
                out.append("  first at ")
                        .append(Math.round(violation.atMs()))
                        .append(" ms: ")
                        .append(violation.what())
                        .append('\n');
            }
        }
        return out.toString();
    }
}
