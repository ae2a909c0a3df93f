package tulipshed.expression;

import com.google.re2j.Matcher;
import java.util.Arrays;

/**
 * The attributes of one request or endpoint, and the working storage of the evaluations. Made once by
 * {@link Program#frame} and filled again for each; confined to one thread. A string that an expression gives is valid
 * only until the next {@link #begin}.
 */
public final class EvaluationFrame {
    // By the slot of the attribute.
    final long[] integers;
    final double[] decimals;
    final CharSequence[] strings;
    final long[] addressHighBits;
    final boolean[] present;

    // By cache slot; a value is valid in the generation in which it was cached.
    final long[] cachedGenerations;
    final long[] cachedIntegers;
    final double[] cachedDecimals;
    final CharSequence[] cachedStrings;

    final ReusableStringBuffer[] buffers;
    final Matcher[] matchers;

    // The lists of candidate rules that a rule table merges, and how far it has read each.
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

    /** Begins another request or endpoint: no attribute has a value, no value is cached, nothing is spent. */
    public void begin() {
        generation++;
        spent = 0;
        Arrays.fill(present, false);
    }

    /**
     * Sets a string.
     *
     * @throws IllegalArgumentException if it is longer than the attribute declares, on which cost bounds rely
     */
    public void set(Attribute attribute, CharSequence value) {
        if (value.length() > attribute.maxLength()) {
            throw new IllegalArgumentException(attribute.name() + " is longer than " + attribute.maxLength());
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

    /** Sets an address: the 128 bits of IPv6; an IPv4 address is mapped to IPv6 (RFC 4291, section 2.5.5.2). */
    public void set(Attribute attribute, long highBits, long lowBits) {
        addressHighBits[attribute.slot()] = highBits;
        set(attribute, lowBits);
    }

    /** Returns what evaluations cost since {@link #begin}, in units of {@link CostModel}. */
    public long spent() {
        return spent;
    }
}
