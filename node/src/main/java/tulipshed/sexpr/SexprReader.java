package tulipshed.sexpr;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads S-expressions: round and square brackets, texts in double quotes, numbers, words, and comments from a
 * semicolon to the end of the line. It keeps its own stack, so depth costs no stack of the virtual machine, and it
 * stops at the first thing that leaves open what the rest means, at a size, a depth and a count of forms.
 */
public final class SexprReader {
    private static final String IN_WORDS = "-_.?!*/+<>=%";

    private final String text;
    private final Bounds bounds;
    private final Diagnostics problems;
    private final List<Form> top = new ArrayList<>();
    private final ArrayDeque<Open> open = new ArrayDeque<>();
    private int at;
    private int line = 1;
    private int lineStart;
    private int forms;
    private boolean stopped;

    /** What a file may be at most: bytes, brackets inside each other, and forms. */
    public record Bounds(int bytes, int depth, int forms) {}

    private record Open(SourcePosition place, boolean square, List<Form> items) {}

    private SexprReader(String text, Bounds bounds, Diagnostics problems) {
        this.text = text;
        this.bounds = bounds;
        this.problems = problems;
    }

    /** The forms of a file; where something is wrong it is noted, and the forms read so far are returned. */
    public static List<Form> read(byte[] file, Bounds bounds, Diagnostics problems) {
        if (file.length > bounds.bytes()) {
            problems.add(
                    SourcePosition.START,
                    "the file has " + file.length + " bytes; at most " + bounds.bytes() + " are read");
            return List.of();
        }
        String text;
        try {
            text = StandardCharsets.UTF_8
                    .newDecoder()
                    .onMalformedInput(CodingErrorAction.REPORT)
                    .onUnmappableCharacter(CodingErrorAction.REPORT)
                    .decode(ByteBuffer.wrap(file))
                    .toString();
        } catch (CharacterCodingException e) {
            problems.add(SourcePosition.START, "the file is not text in UTF-8");
            return List.of();
        }
        SexprReader reader = new SexprReader(text, bounds, problems);
        reader.run();
        return reader.top;
    }

    private void run() {
        while (!stopped && at < text.length()) {
            char c = text.charAt(at);
            if (c == '\n') {
                at++;
                line++;
                lineStart = at;
            } else if (c == ' ' || c == '\t' || c == '\r') {
                at++;
            } else if (c == ';') {
                while (at < text.length() && text.charAt(at) != '\n') {
                    at++;
                }
            } else if (c == '(' || c == '[') {
                open(c == '[');
            } else if (c == ')' || c == ']') {
                close(c == ']');
            } else if (c == '"') {
                text();
            } else if (inWord(c)) {
                word();
            } else {
                stop(here(), "expected a form, found " + show(c));
            }
        }
        if (!stopped && !open.isEmpty()) {
            Open last = open.peek();
            stop(
                    last.place(),
                    "this " + (last.square() ? "[" : "(") + " is never closed"
                            + (open.size() > 1 ? "; nor are " + (open.size() - 1) + " before it" : ""));
        }
    }

    private void open(boolean square) {
        if (open.size() >= bounds.depth()) {
            stop(here(), "brackets more than " + bounds.depth() + " deep");
            return;
        }
        open.push(new Open(here(), square, new ArrayList<>(4)));
        at++;
    }

    private void close(boolean square) {
        Open last = open.peek();
        if (last == null) {
            stop(here(), "a " + text.charAt(at) + " that closes nothing");
        } else if (last.square() != square) {
            stop(
                    here(),
                    "expected " + (last.square() ? "]" : ")") + " for the bracket at " + last.place() + ", found "
                            + text.charAt(at));
        } else {
            open.pop();
            at++;
            add(new Form.Sequence(List.copyOf(last.items()), square, last.place()));
        }
    }

    private void text() {
        SourcePosition from = here();
        StringBuilder value = new StringBuilder();
        for (at++; at < text.length(); at++) {
            char c = text.charAt(at);
            if (c == '"') {
                at++;
                add(new Form.Text(value.toString(), from));
                return;
            }
            if (c < ' ') {
                break;
            }
            if (c != '\\') {
                value.append(c);
                continue;
            }
            char escaped = ++at < text.length() ? text.charAt(at) : ' ';
            switch (escaped) {
                case '"', '\\' -> value.append(escaped);
                case 'n' -> value.append('\n');
                case 't' -> value.append('\t');
                default -> {
                    stop(here(), "expected \\\", \\\\, \\n or \\t, found \\" + show(escaped));
                    return;
                }
            }
        }
        stop(from, "this text is not closed on its line");
    }

    private void word() {
        SourcePosition from = here();
        int start = at;
        while (at < text.length() && inWord(text.charAt(at))) {
            at++;
        }
        String word = text.substring(start, at);
        char first = word.charAt(0);
        boolean number =
                Character.isDigit(first) || (first == '-' && word.length() > 1 && Character.isDigit(word.charAt(1)));
        if (!number) {
            add(new Form.Word(word, from));
            return;
        }
        try {
            add(
                    word.indexOf('.') < 0
                            ? new Form.Whole(Long.parseLong(word), from)
                            : new Form.Fraction(fraction(word), from));
        } catch (NumberFormatException e) {
            problems.add(
                    from,
                    "expected a number of 64 bits, found "
                            + (word.length() > 40 ? word.length() + " characters" : word));
            add(new Form.Whole(0, from));
        }
    }

    private static double fraction(String word) {
        if (!word.matches("-?[0-9]{1,18}\\.[0-9]{1,18}")) {
            throw new NumberFormatException(word);
        }
        return Double.parseDouble(word);
    }

    private void add(Form form) {
        if (++forms > bounds.forms()) {
            stop(form.place(), "more than " + bounds.forms() + " forms");
            return;
        }
        (open.isEmpty() ? top : open.peek().items()).add(form);
    }

    /** What follows cannot be told apart any more. */
    private void stop(SourcePosition place, String why) {
        problems.add(place, why);
        stopped = true;
    }

    private SourcePosition here() {
        return new SourcePosition(line, at - lineStart + 1);
    }

    private static boolean inWord(char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || IN_WORDS.indexOf(c) >= 0;
    }

    private static String show(char c) {
        return c > ' ' && c <= '~' ? String.valueOf(c) : "the character " + (int) c;
    }
}
