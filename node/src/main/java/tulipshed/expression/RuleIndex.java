package tulipshed.expression;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * An index of the rules that compare one expression, the key, with literals: one lookup of its value finds them. A
 * prefix index finds the rules whose literal the value starts with.
 */
final class RuleIndex {
    private static final int[] NO_RULES = {};

    private final Expression key;
    private final boolean byPrefix;

    /** The rules of each literal, in their order. */
    private final Map<Object, List<Integer>> rulesByLiteral = new LinkedHashMap<>();

    // Set by compile: the rules of each literal as a list, and the index of the list by the literal.
    private EvaluationNode keyNode;
    private int[][] ruleLists;
    private StringToIntMap listByString;
    private LongToIntMap listByNumber;
    private int[] prefixLengths;

    RuleIndex(Expression key, boolean byPrefix) {
        this.key = key;
        this.byPrefix = byPrefix;
    }

    Expression key() {
        return key;
    }

    boolean byPrefix() {
        return byPrefix;
    }

    void add(Object literal, int rule) {
        rulesByLiteral.computeIfAbsent(literal, added -> new ArrayList<>()).add(rule);
    }

    Set<Integer> rules() {
        Set<Integer> rules = new HashSet<>();
        rulesByLiteral.values().forEach(rules::addAll);
        return rules;
    }

    /**
     * Adds to each prefix the rules of all shorter prefixes of it, so that the longest match finds them all.
     *
     * @return false, with nothing changed, if the lists would hold more than {@code maxEntries} together
     */
    boolean mergePrefixes(int maxEntries) {
        Map<Object, List<Integer>> merged = new LinkedHashMap<>();
        int entries = 0;
        for (Map.Entry<Object, List<Integer>> entry : rulesByLiteral.entrySet()) {
            String prefix = (String) entry.getKey();
            List<Integer> rules = new ArrayList<>(entry.getValue());
            for (int length = 0; length < prefix.length(); length++) {
                rules.addAll(rulesByLiteral.getOrDefault(prefix.substring(0, length), List.of()));
            }
            rules.sort(null);
            entries += rules.size();
            if (entries > maxEntries) {
                return false;
            }
            merged.put(prefix, rules);
        }
        rulesByLiteral.putAll(merged);
        return true;
    }

    void compile(ExpressionCompiler compiler) {
        keyNode = compiler.compile(key);
        ruleLists = new int[rulesByLiteral.size()][];
        listByString = new StringToIntMap();
        listByNumber = new LongToIntMap();
        int list = 0;
        for (Map.Entry<Object, List<Integer>> entry : rulesByLiteral.entrySet()) {
            ruleLists[list] =
                    entry.getValue().stream().mapToInt(Integer::intValue).toArray();
            if (entry.getKey() instanceof String string) {
                listByString.put(string, list);
            } else {
                listByNumber.put(LiteralSet.encode(entry.getKey()), list);
            }
            list++;
        }
        if (byPrefix) {
            prefixLengths = rulesByLiteral.keySet().stream()
                    .mapToInt(prefix -> ((String) prefix).length())
                    .sorted()
                    .distinct()
                    .toArray();
        }
    }

    /** Returns the rules whose literal matches the key's value in a frame, in their order. */
    int[] find(EvaluationFrame frame) {
        frame.spent++;
        int list = byPrefix ? longestPrefix(frame, keyNode.stringValue(frame)) : listOfValue(frame);
        return list < 0 ? NO_RULES : ruleLists[list];
    }

    private int listOfValue(EvaluationFrame frame) {
        return switch (key.type) {
            case STRING -> {
                CharSequence string = keyNode.stringValue(frame);
                frame.spent += 2 * CostModel.units(string.length());
                yield listByString.get(string);
            }
            case INTEGER -> listByNumber.get(keyNode.integerValue(frame));
            case DECIMAL -> listByNumber.get(LiteralSet.encode(keyNode.decimalValue(frame)));
            default -> listByNumber.get(keyNode.booleanValue(frame) ? 1 : 0);
        };
    }

    private int longestPrefix(EvaluationFrame frame, CharSequence string) {
        int longest = -1;
        int hash = 0;
        int hashedLength = 0;
        for (int length : prefixLengths) {
            if (length > string.length()) {
                break;
            }
            for (; hashedLength < length; hashedLength++) {
                hash = 31 * hash + string.charAt(hashedLength); // as CharSequences.hash
            }
            frame.spent += 1 + 2 * CostModel.units(length);
            int list = listByString.get(string, length, hash);
            longest = list >= 0 ? list : longest;
        }
        return longest;
    }

    /** Returns what a lookup costs at most besides the evaluation of the key. */
    long lookupBound() {
        if (!byPrefix) {
            return 1 + (key.type == Type.STRING ? 2 * CostModel.units(key.maxLength) : 0);
        }
        long sum = 1;
        for (int length : prefixLengths) {
            sum += length <= key.maxLength ? 1 + 2 * CostModel.units(length) : 0;
        }
        return sum;
    }

    /** Returns the lists of rules, of which a lookup finds one or none. */
    int[][] ruleLists() {
        return ruleLists;
    }

    /** Describes the index in a line. */
    String describe() {
        int longest = 0;
        for (List<Integer> rules : rulesByLiteral.values()) {
            longest = Math.max(longest, rules.size());
        }
        return "one lookup of " + key + (byPrefix ? " by prefix" : "") + " among " + rulesByLiteral.size()
                + " literals finds " + rules().size() + " rules, at most " + longest + " at a time";
    }
}
