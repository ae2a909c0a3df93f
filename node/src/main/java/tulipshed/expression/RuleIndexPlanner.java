package tulipshed.expression;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects the indexes of a rule table. Each rule is split at its outermost conjunction; of the conjuncts that compare an
 * expression with literals, the one that most rules share is answered by an index, and the rest of the rule stays as its
 * residual condition.
 */
final class RuleIndexPlanner {
    /** Below this number of rules going through them is as fast as a lookup. */
    private static final int MIN_RULES = 4;

    private static final int MAX_INDEXES = 12;

    /** Limits the lists of nested prefixes together, as a multiple of the number of rules and a constant. */
    private static final int MAX_PREFIX_ENTRIES_PER_RULE = 8;

    private static final int EXTRA_PREFIX_ENTRIES = 1000;

    /** The length at most, in characters, of a prefix that is looked up; longer ones are compared. */
    private static final int MAX_PREFIX_LENGTH = 64;

    private final List<Expression> conditions;
    private final ExpressionInterner interner;
    private final Map<Lookup, Integer> ruleCounts = new HashMap<>();
    private final Map<Lookup, RuleIndex> candidates = new HashMap<>();
    private final Expression[] residuals;
    private final List<Integer> sequentialRules = new ArrayList<>();
    private final List<RuleIndex> indexes = new ArrayList<>();

    /** What answers a conjunct: the value of the key, or its prefixes. */
    private record Lookup(Expression key, boolean byPrefix) {}

    RuleIndexPlanner(List<Expression> conditions, ExpressionInterner interner) {
        this.conditions = conditions;
        this.interner = interner;
        residuals = conditions.toArray(new Expression[0]);
        countRules();
        for (int rule = 0; rule < residuals.length; rule++) {
            if (!residuals[rule].isLiteral(false)) {
                assign(rule);
            }
        }
        candidates.values().forEach(this::acceptOrDissolve);
        indexes.sort(Comparator.comparingInt(index -> index.key().id));
        sequentialRules.sort(null);
    }

    /** Returns the condition of each rule that is left to evaluate. */
    Expression[] residuals() {
        return residuals;
    }

    List<RuleIndex> indexes() {
        return indexes;
    }

    /** Returns the rules that no index finds, in their order. */
    int[] sequentialRules() {
        return sequentialRules.stream().mapToInt(Integer::intValue).toArray();
    }

    private void countRules() {
        for (Expression condition : conditions) {
            for (Expression conjunct : conjuncts(condition)) {
                Lookup lookup = lookup(conjunct);
                if (lookup != null) {
                    ruleCounts.merge(lookup, 1, Integer::sum);
                }
            }
        }
    }

    /** Assigns a rule to the index of its most frequent lookup, or to those that are gone through. */
    private void assign(int rule) {
        Expression condition = residuals[rule];
        Expression indexed = mostFrequent(condition);
        if (indexed == null) {
            sequentialRules.add(rule);
            return;
        }
        RuleIndex index =
                candidates.computeIfAbsent(lookup(indexed), lookup -> new RuleIndex(lookup.key(), lookup.byPrefix()));
        for (Object literal : literals(indexed)) {
            index.add(literal, rule);
        }
        List<Expression> others = new ArrayList<>(conjuncts(condition));
        others.remove(indexed);
        residuals[rule] = interner.make(Operator.AND, Type.BOOLEAN, condition.place, others.toArray(new Expression[0]));
    }

    private Expression mostFrequent(Expression condition) {
        Expression best = null;
        int bestCount = MIN_RULES - 1;
        for (Expression conjunct : conjuncts(condition)) {
            Lookup lookup = lookup(conjunct);
            if (lookup != null
                    && ruleCounts.get(lookup) > bestCount
                    && (candidates.size() < MAX_INDEXES || candidates.containsKey(lookup))) {
                bestCount = ruleCounts.get(lookup);
                best = conjunct;
            }
        }
        return best;
    }

    /** Accepts an index, unless its nested prefixes are too many: then its rules are gone through. */
    private void acceptOrDissolve(RuleIndex index) {
        int maxEntries = MAX_PREFIX_ENTRIES_PER_RULE * conditions.size() + EXTRA_PREFIX_ENTRIES;
        if (!index.byPrefix() || index.mergePrefixes(maxEntries)) {
            indexes.add(index);
            return;
        }
        Set<Integer> rules = index.rules();
        rules.forEach(rule -> residuals[rule] = conditions.get(rule));
        sequentialRules.addAll(rules);
    }

    private static List<Expression> conjuncts(Expression condition) {
        return condition.operator == Operator.AND ? condition.arguments : List.of(condition);
    }

    /** Returns the lookup that answers a conjunct, or null where none does. */
    private static Lookup lookup(Expression conjunct) {
        if (conjunct.operator == Operator.IN) {
            return new Lookup(conjunct.argument(0), false);
        }
        if (conjunct.operator == Operator.EQUAL) {
            return equalityLookup(conjunct.argument(0), conjunct.argument(1));
        }
        if (conjunct.operator == Operator.PREFIX) {
            Expression prefix = conjunct.argument(1);
            return prefix.isLiteral() && prefix.maxLength <= MAX_PREFIX_LENGTH
                    ? new Lookup(conjunct.argument(0), true)
                    : null;
        }
        return null;
    }

    private static Lookup equalityLookup(Expression left, Expression right) {
        if (left.type == Type.ADDRESS) {
            return null;
        }
        if (right.isLiteral()) {
            return new Lookup(left, false);
        }
        return left.isLiteral() ? new Lookup(right, false) : null;
    }

    /** Returns the literals that a conjunct compares the key with. */
    private static List<Object> literals(Expression conjunct) {
        if (conjunct.operator == Operator.IN) {
            return ((LiteralSet) conjunct.constant).values;
        }
        Expression right = conjunct.argument(1);
        return List.of(right.isLiteral() ? right.constant : conjunct.argument(0).constant);
    }
}
