package tulipshed.expression;

import java.util.ArrayDeque;

/**
 * About how many instructions a regular expression has once its counted repeats are written out, found without compiling
 * it: {@code ((a{100}){100}){100}} would take all memory before its size could be asked for.
 */
final class PatternSize {
    private static final long MOST = 1L << 40;

    private final String pattern;
    private final ArrayDeque<long[]> open = new ArrayDeque<>();
    /** What stands before the last item of this group, and the last item. */
    private long before;

    private long last;
    private int at;

    private PatternSize(String pattern) {
        this.pattern = pattern;
    }

    /** The size, at least as large as it would be, and bounded. */
    static long of(String pattern) {
        PatternSize size = new PatternSize(pattern);
        while (size.at < pattern.length()) {
            size.next();
        }
        while (!size.open.isEmpty()) {
            size.close();
        }
        return size.before + size.last;
    }

    private void next() {
        char c = pattern.charAt(at++);
        switch (c) {
            case '\\' -> {
                at++;
                item(1);
            }
            case '[' -> {
                skipClass();
                item(1);
            }
            case '(' -> {
                open.push(new long[] {before, last});
                before = 2;
                last = 0;
            }
            case ')' -> {
                if (!open.isEmpty()) {
                    close();
                }
            }
            case '{' -> repeat();
            default -> item(1);
        }
    }

    private void item(long size) {
        before = Math.min(MOST, before + last);
        last = size;
    }

    private void close() {
        long group = Math.min(MOST, before + last);
        long[] outer = open.pop();
        before = outer[0];
        last = outer[1];
        item(group);
    }

    /** After the bracket: a {@code ]} that comes first is a member, not the end. */
    private void skipClass() {
        int first = at;
        while (at < pattern.length()
                && (pattern.charAt(at) != ']' || at == first || (at == first + 1 && pattern.charAt(first) == '^'))) {
            at += pattern.charAt(at) == '\\' ? 2 : 1;
        }
        at++;
    }

    /** Of {@code {n}}, {@code {n,}} and {@code {n,m}} the larger number counts; anything else stands for itself. */
    private void repeat() {
        int end = pattern.indexOf('}', at);
        String counts = end < 0 ? "" : pattern.substring(at, end);
        if (!counts.matches("[0-9]{1,4}(,[0-9]{0,4})?")) {
            item(1);
            return;
        }
        long most = 1;
        for (String n : counts.split(",")) {
            most = Math.max(most, Long.parseLong(n) + 1);
        }
        last = Math.min(MOST, last * 2 * most);
        at = end + 1;
    }
}
