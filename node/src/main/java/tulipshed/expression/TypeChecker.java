package tulipshed.expression;

import com.google.re2j.Pattern;
import com.google.re2j.PatternSyntaxException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.NameSuggestions;
import tulipshed.sexpr.SourcePosition;

/**
 * Turns forms into checked expressions. Everything that is wrong is noted with its place, and checking goes on with the
 * rest, so that a file's faults are told together.
 */
public final class TypeChecker {
    private static final int DEEPEST = 250; // calls of check within each other: what a stack of 512 KB bears many times
    private static final int MOST_TERMS = 120_000; // different expressions; a file that makes more is refused
    private static final int MOST_CALLS = 2_000_000; // of defines with parameters, all in all

    private final Schema schema;
    private Diagnostics problems;
    private final ExpressionInterner terms;
    private final Map<String, Define> defines = new LinkedHashMap<>();
    private final Map<Call, Expression> calls = new HashMap<>();
    private final Set<String> opened = new LinkedHashSet<>();
    private final ArrayDeque<Map<String, Expression>> scopes = new ArrayDeque<>();
    private final Functions functions;
    private int depth;
    private int work;

    /** A name for an expression, or for one with parameters. */
    private record Define(String name, List<String> parameters, Form body, SourcePosition place) {}

    private record Call(String name, List<Expression> args) {}

    /** A checker of expressions over a schema; {@code terms} is shared by those that are compiled together. */
    public TypeChecker(Schema schema, Diagnostics problems) {
        this.schema = schema;
        this.problems = problems;
        this.terms = new ExpressionInterner();
        this.functions = new Functions(this, terms);
    }

    /** Shared by all expressions that this made. */
    public ExpressionInterner terms() {
        return terms;
    }

    /** Takes {@code (define NAME EXPR)} or {@code (define (NAME PARAMETER ...) EXPR)}; defines may stand in any order. */
    public void define(Form.Sequence form) {
        if (form.items().size() != 3) {
            problems.add(form.place(), "expected (define NAME EXPRESSION) or (define (NAME PARAMETER ...) EXPRESSION)");
            return;
        }
        Form what = form.items().get(1);
        List<String> names = new ArrayList<>();
        for (Form f : what instanceof Form.Sequence s && !s.square() ? s.items() : List.of(what)) {
            if (!(f instanceof Form.Word w) || names.contains(w.name())) {
                problems.add(f.place(), "expected a name of its own, found " + f.describe());
                return;
            }
            names.add(w.name());
        }
        if (names.isEmpty()) {
            problems.add(what.place(), "expected a name, found ()");
            return;
        }
        String name = names.get(0);
        boolean parameters = what instanceof Form.Sequence;
        Define d = new Define(
                name,
                parameters ? names.subList(1, names.size()) : null,
                form.items().get(2),
                what.place());
        if (Builtins.form(name) != null || schema.get(name) != null || isTruth(name) || name.equals("else")) {
            problems.add(what.place(), name + " has a meaning already");
        } else if (defines.putIfAbsent(name, d) != null) {
            problems.add(
                    what.place(),
                    name + " is defined already at " + defines.get(name).place());
        }
    }

    /** What is wrong with one define, used or not; one with parameters is checked where it is used. */
    public Diagnostics faultsOf(String name) {
        Diagnostics outer = problems;
        Diagnostics own = new Diagnostics("");
        Define d = defines.get(name);
        problems = own;
        try {
            if (d != null && d.parameters() == null) {
                call(d, List.of(), d.place());
            }
        } finally {
            problems = outer;
        }
        return own;
    }

    /** The names defined. */
    public Collection<String> defined() {
        return List.copyOf(defines.keySet());
    }

    /** An expression that must be of that type and never missing; null where something is wrong. */
    public Expression expect(Form form, Type type) {
        int before = problems.count();
        Expression e = convert(present(check(form)), type);
        if (!e.unknown() && e.type != type) {
            problems.add(form.place(), "expected " + article(type) + ", found " + article(e.type) + ": " + e);
        }
        return problems.count() > before || e.unknown() ? null : e;
    }

    /** An expression of whatever type; null where something is wrong. */
    public Expression any(Form form) {
        int before = problems.count();
        Expression e = present(check(form));
        return problems.count() > before || e.unknown() ? null : e;
    }

    // ---- What Functions asks ----

    Expression check(Form form) {
        if (depth >= DEEPEST) {
            return wrong(form.place(), "expressions, with the defines they use, more than " + DEEPEST + " deep");
        }
        depth++;
        try {
            Expression e = checked(form);
            if (e.depth > DEEPEST) {
                return wrong(form.place(), "expressions, with the defines they use, more than " + DEEPEST + " deep");
            }
            if (terms.size() > MOST_TERMS || work > MOST_CALLS) {
                return wrong(form.place(), "too many different expressions");
            }
            return e;
        } finally {
            depth--;
        }
    }

    /** Checks one that may not be missing. */
    Expression value(Form form) {
        return present(check(form));
    }

    Expression wrong(SourcePosition place, String why) {
        problems.add(place, why);
        return terms.unknown(place);
    }

    static String article(Type type) {
        return (type == Type.INTEGER || type == Type.ADDRESS ? "an " : "a ") + type;
    }

    /** A whole literal stands for a decimal where one is asked for. */
    Expression convert(Expression e, Type wanted) {
        return wanted == Type.DECIMAL && e.type == Type.INTEGER && e.isLiteral()
                ? terms.literal((double) (Long) e.literal, e.place)
                : e;
    }

    Expression within(Map<String, Expression> names, Form body) {
        scopes.push(names);
        try {
            return check(body);
        } finally {
            scopes.pop();
        }
    }

    Attribute attribute(Form form) {
        return form instanceof Form.Word w && lookUp(w.name()) == null ? schema.get(w.name()) : null;
    }

    private Expression present(Expression e) {
        if (e.optional && !e.unknown()) {
            return wrong(
                    e.place,
                    e + " may be missing: say what holds then, (default " + e + " "
                            + (e.type == Type.STRING ? "\"\"" : e.type == Type.BOOLEAN ? "false" : "0") + ")");
        }
        return e;
    }

    // ---- Forms ----

    private Expression checked(Form form) {
        if (form instanceof Form.Whole w) {
            return terms.literal(w.value(), w.place());
        } else if (form instanceof Form.Fraction f) {
            return terms.literal(f.value(), f.place());
        } else if (form instanceof Form.Text t) {
            return t.value().length() > CostModel.LONGEST_TEXT
                    ? wrong(
                            t.place(),
                            "a text of " + t.value().length() + " characters; at most " + CostModel.LONGEST_TEXT)
                    : terms.literal(t.value(), t.place());
        } else if (form instanceof Form.Word w) {
            return word(w);
        }
        Form.Sequence s = (Form.Sequence) form;
        if (s.square()) {
            return wrong(s.place(), "a list stands only as the second part of in or in-network");
        }
        if (s.head() == null) {
            return wrong(
                    s.place(),
                    "expected a function, found "
                            + (s.items().isEmpty() ? "()" : s.items().get(0).describe()));
        }
        Define d = defines.get(s.head());
        if (d != null && d.parameters() != null) {
            return called(d, s);
        }
        if (Builtins.form(s.head()) == null) {
            return wrong(
                    s.place(),
                    d != null || schema.get(s.head()) != null || lookUp(s.head()) != null
                            ? s.head() + " is a value, not a function; write it without brackets"
                            : "unknown function " + s.head() + hint(s.head(), Builtins.names()));
        }
        return functions.check(s);
    }

    private Expression word(Form.Word w) {
        if (isTruth(w.name())) {
            return terms.literal(w.name().equals("true"), w.place());
        }
        Expression local = lookUp(w.name());
        if (local != null) {
            return local;
        }
        Attribute a = schema.get(w.name());
        if (a != null) {
            return terms.attribute(a, w.place());
        }
        Define d = defines.get(w.name());
        if (d != null && d.parameters() == null) {
            return call(d, List.of(), w.place());
        }
        if (d != null || Builtins.form(w.name()) != null) {
            return wrong(
                    w.place(),
                    w.name() + " is a function; write "
                            + (d == null ? Builtins.form(w.name()) : "(" + w.name() + " ...)"));
        }
        return wrong(w.place(), "unknown name " + w.name() + hint(w.name(), schema.names()));
    }

    /** The nearest of the names that may stand there; not looked for once no more problems are told, as it takes long. */
    private String hint(String name, Collection<String> names) {
        if (problems.count() >= Diagnostics.MOST) {
            return "";
        }
        Set<String> known = new LinkedHashSet<>(names);
        known.addAll(List.of("true", "false"));
        known.addAll(defines.keySet());
        for (Map<String, Expression> scope : scopes) {
            known.addAll(scope.keySet());
            if (known.remove(null)) {
                break;
            }
        }
        return NameSuggestions.hint(name, known);
    }

    private static boolean isTruth(String name) {
        return name.equals("true") || name.equals("false");
    }

    private Expression lookUp(String name) {
        for (Map<String, Expression> scope : scopes) {
            Expression e = scope.get(name);
            if (e != null) {
                return e;
            }
            if (scope.containsKey(null)) {
                // The body of a define sees its parameters and nothing of where it is used.
                return null;
            }
        }
        return null;
    }

    private Expression called(Define d, Form.Sequence s) {
        if (s.items().size() - 1 != d.parameters().size()) {
            return wrong(
                    s.place(),
                    "expected " + d.parameters().size() + " arguments of " + d.name() + ", found "
                            + (s.items().size() - 1));
        }
        List<Expression> args = new ArrayList<>();
        for (Form f : s.items().subList(1, s.items().size())) {
            args.add(check(f));
        }
        return args.stream().anyMatch(Expression::unknown) ? terms.unknown(s.place()) : call(d, args, s.place());
    }

    /** The body with its parameters in place; the same call gives the same expression, so calls of calls cost no more. */
    private Expression call(Define d, List<Expression> args, SourcePosition from) {
        Call call = new Call(d.name(), args);
        Expression known = calls.get(call);
        if (known != null) {
            return known;
        }
        if (!opened.add(d.name())) {
            return wrong(from, d.name() + " is defined by itself: " + String.join(" -> ", opened) + " -> " + d.name());
        }
        work++;
        Map<String, Expression> names = new HashMap<>();
        names.put(null, null);
        for (int i = 0; i < args.size(); i++) {
            names.put(d.parameters().get(i), args.get(i));
        }
        Expression made;
        try {
            made = within(names, d.body());
        } finally {
            opened.remove(d.name());
        }
        calls.put(call, made);
        return made;
    }

    /** A regular expression, or null where it is none. */
    Matching matching(Form.Text text) {
        try {
            return new Matching(text.value(), Pattern.compile(text.value()));
        } catch (PatternSyntaxException e) {
            problems.add(text.place(), "not a regular expression of RE2: " + e.getDescription());
            return null;
        }
    }
}
