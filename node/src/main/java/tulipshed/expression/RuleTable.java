package tulipshed.expression;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Rules in order, of which the first that holds is wanted. Those that compare one expression with literals are found by
 * one lookup of its value, however many they are; what else they ask, and all other rules, are gone through in order.
 */
public final class RuleTable {
    private static final int LEAST_RULES = 4; // below that going through them is as fast as a lookup
    private static final int MOST_INDEXES = 12;
    private static final int MOST_REPEATED = 8; // times the rules, that lists of nested prefixes may hold together
    private static final int LONGEST_PREFIX = 64; // characters; longer ones are compared, not looked up
    private static final int[] NONE = {};

    private final List<Index> indexes = new ArrayList<>();
    private final Expression[] left;
    private final int[] unindexed;
    private EvaluationNode[] nodes;
    private int firstList;

    /** One expression compared with literals in many rules. */
    private static final class Index {
        private final Expression key;
        private final boolean prefixes;
        private final Map<Object, List<Integer>> rules = new LinkedHashMap<>();
        private EvaluationNode node;
        private int[][] lists;
        private StringToIntMap texts;
        private LongToIntMap wholes;
        private int[] lengths;

        Index(Expression key, boolean prefixes) {
            this.key = key;
            this.prefixes = prefixes;
        }

        void add(Object value, int rule) {
            rules.computeIfAbsent(value, v -> new ArrayList<>()).add(rule);
        }

        /** What a rule of a prefix asks holds for all longer ones. */
        boolean mergePrefixes(int mostRules) {
            Map<Object, List<Integer>> merged = new LinkedHashMap<>();
            int sum = 0;
            for (Map.Entry<Object, List<Integer>> e : rules.entrySet()) {
                String prefix = (String) e.getKey();
                List<Integer> all = new ArrayList<>(e.getValue());
                for (int n = 0; n < prefix.length(); n++) {
                    all.addAll(rules.getOrDefault(prefix.substring(0, n), List.of()));
                }
                all.sort(null);
                sum += all.size();
                if (sum > mostRules) {
                    return false;
                }
                merged.put(prefix, all);
            }
            rules.putAll(merged);
            return true;
        }

        void compile(Program.Builder b) {
            node = b.node(key);
            lists = new int[rules.size()][];
            texts = new StringToIntMap();
            wholes = new LongToIntMap();
            int i = 0;
            for (Map.Entry<Object, List<Integer>> e : rules.entrySet()) {
                lists[i] = e.getValue().stream().mapToInt(Integer::intValue).toArray();
                if (e.getKey() instanceof String s) {
                    texts.put(s, i++);
                } else {
                    wholes.put(LiteralSet.bits(e.getKey()), i++);
                }
            }
            if (prefixes) {
                lengths = rules.keySet().stream()
                        .mapToInt(s -> ((String) s).length())
                        .sorted()
                        .distinct()
                        .toArray();
            }
        }

        int[] find(EvaluationFrame frame) {
            frame.spent++;
            int at;
            if (prefixes) {
                at = longestPrefix(frame, node.stringValue(frame));
            } else if (key.type == Type.STRING) {
                CharSequence s = node.stringValue(frame);
                frame.spent += 2 * CostModel.units(s.length());
                at = texts.get(s);
            } else {
                at = wholes.get(
                        key.type == Type.INTEGER
                                ? node.integerValue(frame)
                                : key.type == Type.DECIMAL
                                        ? LiteralSet.bits(node.decimalValue(frame))
                                        : node.booleanValue(frame) ? 1 : 0);
            }
            return at < 0 ? NONE : lists[at];
        }

        private int longestPrefix(EvaluationFrame frame, CharSequence s) {
            int found = -1;
            int hash = 0;
            int hashed = 0;
            for (int length : lengths) {
                if (length > s.length()) {
                    break;
                }
                for (; hashed < length; hashed++) {
                    hash = 31 * hash + s.charAt(hashed);
                }
                frame.spent += 1 + 2 * CostModel.units(length);
                int at = texts.get(s, length, hash);
                found = at >= 0 ? at : found;
            }
            return found;
        }

        long lookupBound() {
            if (!prefixes) {
                return 1 + (key.type == Type.STRING ? 2 * CostModel.units(key.longest) : 0);
            }
            long sum = 1;
            for (int length : lengths) {
                sum += length <= key.longest ? 1 + 2 * CostModel.units(length) : 0;
            }
            return sum;
        }
    }

    /** A part of a rule that a lookup can answer. */
    private record Part(Expression key, boolean prefix) {}

    RuleTable(List<Expression> conditions, ExpressionInterner terms) {
        left = conditions.toArray(new Expression[0]);
        Map<Part, Integer> counts = new HashMap<>();
        conditions.forEach(c -> parts(c).forEach(p -> {
            Part part = part(p);
            if (part != null) {
                counts.merge(part, 1, Integer::sum);
            }
        }));
        Map<Part, Index> made = new HashMap<>();
        List<Integer> rest = new ArrayList<>();
        for (int rule = 0; rule < left.length; rule++) {
            if (left[rule].is(false)) {
                continue;
            }
            Expression best = best(left[rule], counts, made);
            if (best == null) {
                rest.add(rule);
                continue;
            }
            Part part = part(best);
            Index index = made.computeIfAbsent(part, p -> new Index(p.key(), p.prefix()));
            for (Object value : values(best)) {
                index.add(value, rule);
            }
            List<Expression> others = new ArrayList<>(parts(left[rule]));
            others.remove(best);
            left[rule] = terms.make(Operator.AND, Type.BOOLEAN, left[rule].place, others.toArray(new Expression[0]));
        }
        for (Index index : made.values()) {
            if (index.prefixes && !index.mergePrefixes(MOST_REPEATED * conditions.size() + 1000)) {
                // Prefixes of prefixes of prefixes: those rules are gone through after all.
                Set<Integer> back = new HashSet<>();
                index.rules.values().forEach(back::addAll);
                back.forEach(rule -> left[rule] = conditions.get(rule));
                rest.addAll(back);
            } else {
                indexes.add(index);
            }
        }
        indexes.sort((a, b) -> Integer.compare(a.key.id, b.key.id));
        rest.sort(null);
        unindexed = rest.stream().mapToInt(Integer::intValue).toArray();
        indexes.forEach(i -> i.key.uses++);
        Arrays.stream(left).forEach(e -> e.uses++);
    }

    private static Expression best(Expression condition, Map<Part, Integer> counts, Map<Part, Index> made) {
        Expression best = null;
        int most = LEAST_RULES - 1;
        for (Expression p : parts(condition)) {
            Part part = part(p);
            if (part != null && counts.get(part) > most && (made.size() < MOST_INDEXES || made.containsKey(part))) {
                most = counts.get(part);
                best = p;
            }
        }
        return best;
    }

    private static List<Expression> parts(Expression condition) {
        return condition.op == Operator.AND ? condition.args : List.of(condition);
    }

    private static Part part(Expression e) {
        return switch (e.op) {
            case EQUAL ->
                e.args.get(0).type == Type.ADDRESS
                        ? null
                        : e.args.get(1).isLiteral()
                                ? new Part(e.args.get(0), false)
                                : e.args.get(0).isLiteral() ? new Part(e.args.get(1), false) : null;
            case IN -> new Part(e.args.get(0), false);
            case PREFIX ->
                e.args.get(1).isLiteral() && e.args.get(1).longest <= LONGEST_PREFIX
                        ? new Part(e.args.get(0), true)
                        : null;
            default -> null;
        };
    }

    private static List<Object> values(Expression e) {
        return e.op == Operator.IN
                ? ((LiteralSet) e.literal).values
                : List.of(e.args.get(e.args.get(1).isLiteral() ? 1 : 0).literal);
    }

    void compile(Program.Builder b) {
        firstList = b.lists(indexes.size() + 1);
        indexes.forEach(i -> i.compile(b));
        nodes = new EvaluationNode[left.length];
        for (int i = 0; i < left.length; i++) {
            nodes[i] = left[i].is(true) ? null : b.node(left[i]);
        }
    }

    /** The number of the first rule that holds, counted from 0, or -1. */
    public int first(EvaluationFrame frame) {
        int count = indexes.size();
        frame.lists[firstList] = unindexed;
        frame.cursors[firstList] = 0;
        for (int i = 0; i < count; i++) {
            frame.lists[firstList + 1 + i] = indexes.get(i).find(frame);
            frame.cursors[firstList + 1 + i] = 0;
        }
        while (true) {
            int rule = Integer.MAX_VALUE;
            int from = -1;
            for (int i = firstList; i <= firstList + count; i++) {
                int cursor = frame.cursors[i];
                if (cursor < frame.lists[i].length && frame.lists[i][cursor] < rule) {
                    rule = frame.lists[i][cursor];
                    from = i;
                }
            }
            if (from < 0) {
                return -1;
            }
            frame.cursors[from]++;
            frame.spent++;
            if (nodes[rule] == null || nodes[rule].booleanValue(frame)) {
                return rule;
            }
        }
    }

    /** What finding the rule costs at most, in units of {@link CostModel}. */
    public long bound(CostModel cost) {
        Set<Expression> counted = new HashSet<>();
        long sum = bound(unindexed, cost, counted);
        for (Index index : indexes) {
            sum = Arithmetic.add(sum, index.lookupBound() + cost.bound(index.key, counted));
            long most = 0;
            for (int[] list : index.lists) {
                most = Math.max(most, bound(list, cost, new HashSet<>(counted)));
            }
            sum = Arithmetic.add(sum, most);
        }
        return sum;
    }

    private long bound(int[] rules, CostModel cost, Set<Expression> counted) {
        long sum = 0;
        for (int rule : rules) {
            sum = Arithmetic.add(sum, 1 + (nodes[rule] == null ? 0 : cost.bound(left[rule], counted)));
        }
        return sum;
    }

    /** How the rules are found, in a line for each lookup. */
    public List<String> plan() {
        List<String> lines = new ArrayList<>();
        for (Index index : indexes) {
            Set<Integer> rules = new HashSet<>();
            int longest = 0;
            for (List<Integer> list : index.rules.values()) {
                rules.addAll(list);
                longest = Math.max(longest, list.size());
            }
            lines.add(
                    "one lookup of " + index.key + (index.prefixes ? " by prefix" : "") + " among " + index.rules.size()
                            + " literals finds " + rules.size() + " rules, at most " + longest + " at a time");
        }
        if (unindexed.length > 0) {
            lines.add(
                    unindexed.length + (unindexed.length == 1 ? " rule is" : " rules are") + " gone through in order");
        }
        return lines;
    }
}
