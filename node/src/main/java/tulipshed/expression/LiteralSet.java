package tulipshed.expression;

import java.util.List;

/** Literals of one type among which a value may be; looked up, not gone through. */
final class LiteralSet {
    final Type type;
    final List<Object> values;
    private StringToIntMap texts;
    private LongToIntMap wholes;

    /** Of values that are all different: strings, Longs, Doubles or Booleans. */
    LiteralSet(Type type, List<Object> values) {
        this.type = type;
        this.values = List.copyOf(values);
    }

    private void fill() {
        StringToIntMap t = new StringToIntMap();
        LongToIntMap w = new LongToIntMap();
        for (Object v : values) {
            if (v instanceof String s) {
                t.put(s, 0);
            } else {
                w.put(bits(v), 0);
            }
        }
        texts = t;
        wholes = w;
    }

    /** A number for each value that is another for values that are not equal. */
    static long bits(Object v) {
        return v instanceof Long l ? l : v instanceof Double d ? bits(d.doubleValue()) : Boolean.TRUE.equals(v) ? 1 : 0;
    }

    static long bits(double d) {
        // 0.0 and -0.0 are equal.
        return Double.doubleToLongBits(d + 0.0);
    }

    boolean has(CharSequence s) {
        if (texts == null) {
            fill();
        }
        return texts.get(s) >= 0;
    }

    boolean has(long v) {
        if (wholes == null) {
            fill();
        }
        return wholes.get(v) >= 0;
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof LiteralSet s && s.type == type && s.values.equals(values);
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
