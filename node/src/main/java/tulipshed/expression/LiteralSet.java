package tulipshed.expression;

import java.util.List;

/** A set of distinct literals of one type, with membership by hash lookup. */
final class LiteralSet {
    final Type type;

    /** Strings, Longs, Doubles or Booleans, by the type. */
    final List<Object> values;

    private StringToIntMap strings;
    private LongToIntMap numbers;

    LiteralSet(Type type, List<Object> values) {
        this.type = type;
        this.values = List.copyOf(values);
    }

    /** Encodes a literal that is no string, so that literals of one type are equal exactly if their encodings are. */
    static long encode(Object literal) {
        if (literal instanceof Long integer) {
            return integer;
        }
        if (literal instanceof Double decimal) {
            return encode(decimal.doubleValue());
        }
        return Boolean.TRUE.equals(literal) ? 1 : 0;
    }

    static long encode(double decimal) {
        // Adding 0.0 turns -0.0 into 0.0, which it is equal to.
        return Double.doubleToLongBits(decimal + 0.0);
    }

    boolean contains(CharSequence string) {
        if (strings == null) {
            fill();
        }
        return strings.get(string) >= 0;
    }

    /** Whether a literal with this encoding is in the set. */
    boolean contains(long encoded) {
        if (numbers == null) {
            fill();
        }
        return numbers.get(encoded) >= 0;
    }

    /** Fills the tables at the first lookup: sets that a rule table indexes are never looked up. */
    private void fill() {
        StringToIntMap newStrings = new StringToIntMap();
        LongToIntMap newNumbers = new LongToIntMap();
        for (Object value : values) {
            if (value instanceof String string) {
                newStrings.put(string, 0);
            } else {
                newNumbers.put(encode(value), 0);
            }
        }
        strings = newStrings;
        numbers = newNumbers;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof LiteralSet set && set.type == type && set.values.equals(values);
    }

    @Override
    public int hashCode() {
        return values.hashCode();
    }

    @Override
    public String toString() {
        return values.size() > 6 ? "[" + values.size() + " literals]" : values.toString();
    }
}
