package tulipshed.expression;

import java.util.ArrayDeque;

/**
 * Estimates the number of instructions of a regular expression once its counted repetitions are expanded, without
 * compiling it: RE2/J expands {@code ((a{100}){100}){100}} in memory before its program size can be asked for.
 */
final class RegexSizeEstimator {
    /** Sizes saturate here, so that products of repetitions stay within 64 bits. */
    private static final long MAX_SIZE = 1L << 40;

    /** Instructions that enter and leave a group. */
    private static final long GROUP_SIZE = 2;

    /** The state of the groups that are open around the current one. */
    private final ArrayDeque<Group> enclosing = new ArrayDeque<>();

    private final String pattern;
    private long sizeBeforeLastItem;
    private long lastItemSize;
    private int index;

    private record Group(long sizeBeforeLastItem, long lastItemSize) {}

    private RegexSizeEstimator(String pattern) {
        this.pattern = pattern;
    }

    /** Returns an upper bound of the size in instructions, itself bounded. */
    static long estimate(String pattern) {
        RegexSizeEstimator estimator = new RegexSizeEstimator(pattern);
        while (estimator.index < pattern.length()) {
            estimator.readItem();
        }
        while (!estimator.enclosing.isEmpty()) {
            estimator.closeGroup();
        }
        return estimator.sizeBeforeLastItem + estimator.lastItemSize;
    }

    private void readItem() {
        char next = pattern.charAt(index++);
        switch (next) {
            case '\\' -> {
                index++;
                addItem(1);
            }
            case '[' -> {
                skipCharacterClass();
                addItem(1);
            }
            case '(' -> openGroup();
            case ')' -> {
                if (!enclosing.isEmpty()) {
                    closeGroup();
                }
            }
            case '{' -> readRepetition();
            default -> addItem(1);
        }
    }

    private void addItem(long size) {
        sizeBeforeLastItem = Math.min(MAX_SIZE, sizeBeforeLastItem + lastItemSize);
        lastItemSize = size;
    }

    private void openGroup() {
        enclosing.push(new Group(sizeBeforeLastItem, lastItemSize));
        sizeBeforeLastItem = GROUP_SIZE;
        lastItemSize = 0;
    }

    private void closeGroup() {
        long groupSize = Math.min(MAX_SIZE, sizeBeforeLastItem + lastItemSize);
        Group outer = enclosing.pop();
        sizeBeforeLastItem = outer.sizeBeforeLastItem();
        lastItemSize = outer.lastItemSize();
        addItem(groupSize);
    }

    /** Skips a character class after its opening bracket: a {@code ]} that comes first is a member, not the end. */
    private void skipCharacterClass() {
        int first = index;
        while (index < pattern.length()
                && (pattern.charAt(index) != ']'
                        || index == first
                        || (index == first + 1 && pattern.charAt(first) == '^'))) {
            index += pattern.charAt(index) == '\\' ? 2 : 1;
        }
        index++;
    }

    /** Reads {@code {n}}, {@code {n,}} or {@code {n,m}}, of which the larger number counts; else a literal brace. */
    private void readRepetition() {
        int end = pattern.indexOf('}', index);
        String counts = end < 0 ? "" : pattern.substring(index, end);
        if (!counts.matches("[0-9]{1,4}(,[0-9]{0,4})?")) {
            addItem(1);
            return;
        }
        long copies = 1;
        for (String count : counts.split(",")) {
            copies = Math.max(copies, Long.parseLong(count) + 1);
        }
        lastItemSize = Math.min(MAX_SIZE, lastItemSize * 2 * copies);
        index = end + 1;
    }
}
