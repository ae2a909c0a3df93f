package tulipshed.expression;

import com.google.re2j.Matcher;

/**
 * The attributes of one transaction or member, and room for what is worked out of them. Made once by
 * {@link Program#frame} and filled again for each; not for two threads at a time. Texts that an expression gives lie in
 * this room and hold only until the next {@link #begin}.
 */
public final class EvaluationFrame {
    final long[] whole;
    final double[] fraction;
    final CharSequence[] text;
    final long[] high;
    final boolean[] present;
    final long[] rememberedAt;
    final long[] rememberedWhole;
    final double[] rememberedFraction;
    final CharSequence[] rememberedText;
    final ReusableStringBuffer[] buffers;
    final Matcher[] matchers;
    final int[][] lists;
    final int[] cursors;
    long generation;
    long spent;

    EvaluationFrame(int attributes, int remembered, ReusableStringBuffer[] buffers, Matcher[] matchers, int lists) {
        whole = new long[attributes];
        fraction = new double[attributes];
        text = new CharSequence[attributes];
        high = new long[attributes];
        present = new boolean[attributes];
        rememberedAt = new long[remembered];
        rememberedWhole = new long[remembered];
        rememberedFraction = new double[remembered];
        rememberedText = new CharSequence[remembered];
        this.buffers = buffers;
        this.matchers = matchers;
        this.lists = new int[lists][];
        cursors = new int[lists];
    }

    /** Begins another transaction: all attributes are missing, nothing is worked out yet, nothing is spent. */
    public void begin() {
        generation++;
        spent = 0;
        java.util.Arrays.fill(present, false);
    }

    /** Sets a string; longer than the attribute allows is the caller's fault and refused. */
    public void set(Attribute a, CharSequence value) {
        if (value.length() > a.longest()) {
            throw new IllegalArgumentException(a.name() + " is longer than " + a.longest());
        }
        text[a.slot()] = value;
        present[a.slot()] = true;
    }

    /** Sets an integer. */
    public void set(Attribute a, long value) {
        whole[a.slot()] = value;
        present[a.slot()] = true;
    }

    /** Sets a decimal. */
    public void set(Attribute a, double value) {
        fraction[a.slot()] = value;
        present[a.slot()] = true;
    }

    /** Sets a boolean. */
    public void set(Attribute a, boolean value) {
        set(a, value ? 1L : 0L);
    }

    /** Sets an address: the 128 bits of IPv6, an IPv4 address mapped as RFC 4291 section 2.5.5.2 has it. */
    public void set(Attribute a, long highBits, long lowBits) {
        high[a.slot()] = highBits;
        set(a, lowBits);
    }

    /** What was spent since {@link #begin}, in the unit of {@link CostModel}. */
    public long spent() {
        return spent;
    }
}
