package tulipshed.expression;

/** A text that is made anew in the same room for each transaction. */
final class ReusableStringBuffer implements CharSequence {
    private final char[] chars;
    private int length;

    ReusableStringBuffer(int longest) {
        chars = new char[longest];
    }

    ReusableStringBuffer clear() {
        length = 0;
        return this;
    }

    void append(char c) {
        chars[length++] = c;
    }

    void append(CharSequence s, int from, int to) {
        if (s instanceof String string) {
            string.getChars(from, to, chars, length);
            length += to - from;
        } else {
            for (int i = from; i < to; i++) {
                chars[length++] = s.charAt(i);
            }
        }
    }

    /** Writes a whole number in figures. */
    void append(long value) {
        if (value == Long.MIN_VALUE) {
            append(String.valueOf(value), 0, 20);
            return;
        }
        if (value < 0) {
            append('-');
        }
        long left = Math.abs(value);
        long unit = 1;
        while (left / unit >= 10) {
            unit *= 10;
        }
        for (; unit > 0; unit /= 10) {
            append((char) ('0' + left / unit % 10));
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
