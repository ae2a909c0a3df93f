package tulipshed.expression;

/** A character buffer of fixed capacity that is written anew for each evaluation, without allocation. */
final class ReusableStringBuffer implements CharSequence {
    private static final String MIN_INTEGER = String.valueOf(Long.MIN_VALUE);

    private final char[] chars;
    private int length;

    ReusableStringBuffer(int capacity) {
        chars = new char[capacity];
    }

    ReusableStringBuffer clear() {
        length = 0;
        return this;
    }

    void append(char character) {
        chars[length++] = character;
    }

    void append(CharSequence text, int from, int to) {
        if (text instanceof String string) {
            string.getChars(from, to, chars, length);
            length += to - from;
        } else {
            for (int i = from; i < to; i++) {
                chars[length++] = text.charAt(i);
            }
        }
    }

    /** Appends an integer in decimal digits. */
    void append(long value) {
        if (value == Long.MIN_VALUE) {
            append(MIN_INTEGER, 0, MIN_INTEGER.length());
            return;
        }
        if (value < 0) {
            append('-');
        }
        long magnitude = Math.abs(value);
        long unit = 1;
        while (magnitude / unit >= 10) {
            unit *= 10;
        }
        for (; unit > 0; unit /= 10) {
            append((char) ('0' + magnitude / unit % 10));
        }
    }

    @Override
    public int length() {
        return length;
    }

    @Override
    public char charAt(int index) {
        return chars[index];
    }

    @Override
    public CharSequence subSequence(int start, int end) {
        return new String(chars, start, end - start);
    }

    @Override
    public String toString() {
        return new String(chars, 0, length);
    }
}
