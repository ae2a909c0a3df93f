package tulipshed.expression;

import com.google.re2j.Matcher;
import com.google.re2j.Pattern;
import java.util.ArrayList;
import java.util.List;

/** The working storage that compiled nodes need in every frame: each asks for its slots when it is compiled. */
final class FrameLayout {
    private final List<Integer> bufferCapacities = new ArrayList<>();
    private final List<Pattern> patterns = new ArrayList<>();
    private int cacheSlots;
    private int ruleLists;

    /** Returns the slot of a cached value. */
    int addCacheSlot() {
        return cacheSlots++;
    }

    /** Returns the slot of a buffer for a string of so many characters at most. */
    int addBuffer(int capacity) {
        bufferCapacities.add(capacity);
        return bufferCapacities.size() - 1;
    }

    /** Returns the slot of a matcher. */
    int addMatcher(Pattern pattern) {
        patterns.add(pattern);
        return patterns.size() - 1;
    }

    /** Returns the first slot of that many lists of candidate rules. */
    int addRuleLists(int count) {
        int first = ruleLists;
        ruleLists += count;
        return first;
    }

    EvaluationFrame newFrame(int attributes) {
        ReusableStringBuffer[] buffers = new ReusableStringBuffer[bufferCapacities.size()];
        for (int i = 0; i < buffers.length; i++) {
            buffers[i] = new ReusableStringBuffer(bufferCapacities.get(i));
        }
        Matcher[] matchers = new Matcher[patterns.size()];
        for (int i = 0; i < matchers.length; i++) {
            matchers[i] = patterns.get(i).matcher("");
        }
        return new EvaluationFrame(attributes, cacheSlots, buffers, matchers, ruleLists);
    }
}
