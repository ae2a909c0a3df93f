package tulipshed.expression;

import com.google.re2j.Matcher;
import java.util.Arrays;

/**
 * The attributes of one transaction or member, and room for what is worked out of them. Made once by
 * {@link Program#frame} and filled again for each; not for two threads at a time. Texts that an expression gives lie in
 * this room and hold only until the next {@link #begin}.
 */
public final class EvaluationFrame {
    final long[] integers;
    final double[] decimals;
    final CharSequence[] strings;
    final long[] addressHighBits;
    final boolean[] present;
    final long[] cachedGenerations;
    final long[] cachedIntegers;
    final double[] cachedDecimals;
    final CharSequence[] cachedStrings;
    final ReusableStringBuffer[] buffers;
    final Matcher[] matchers;
    final int[][] lists;
    final int[] cursors;
    long generation;
    long spent;

    EvaluationFrame(int attributes, int cacheSlots, ReusableStringBuffer[] buffers, Matcher[] matchers, int lists) {
        integers = new long[attributes];
        decimals = new double[attributes];
        strings = new CharSequence[attributes];
        addressHighBits = new long[attributes];
        present = new boolean[attributes];
        cachedGenerations = new long[cacheSlots];
        cachedIntegers = new long[cacheSlots];
        cachedDecimals = new double[cacheSlots];
        cachedStrings = new CharSequence[cacheSlots];
        this.buffers = buffers;
        this.matchers = matchers;
        this.lists = new int[lists][];
        cursors = new int[lists];
    }

    /** Begins another transaction: all attributes are missing, nothing is worked out yet, nothing is spent. */
    public void begin() {
        generation++;
        spent = 0;
        Arrays.fill(present, false);
    }

    /** Sets a string; longer than the attribute allows is the caller's fault and refused. */
    public void set(Attribute attribute, CharSequence value) {
        if (value.length() > attribute.longest()) {
            throw new IllegalArgumentException(attribute.name() + " is longer than " + attribute.longest());
        }
        strings[attribute.slot()] = value;
        present[attribute.slot()] = true;
    }

    /** Sets an integer. */
    public void set(Attribute attribute, long value) {
        integers[attribute.slot()] = value;
        present[attribute.slot()] = true;
    }

    /** Sets a decimal. */
    public void set(Attribute attribute, double value) {
        decimals[attribute.slot()] = value;
        present[attribute.slot()] = true;
    }

    /** Sets a boolean. */
    public void set(Attribute attribute, boolean value) {
        set(attribute, value ? 1L : 0L);
    }

    /** Sets an address: the 128 bits of IPv6, an IPv4 address mapped as RFC 4291 section 2.5.5.2 has it. */
    public void set(Attribute attribute, long highBits, long lowBits) {
        addressHighBits[attribute.slot()] = highBits;
        set(attribute, lowBits);
    }

    /** What was spent since {@link #begin}, in the unit of {@link CostModel}. */
    public long spent() {
        return spent;
    }
}
