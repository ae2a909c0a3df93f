package tulipshed.sexpr;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads S-expressions: lists in round and square brackets of strings, numbers and symbols. The parser keeps its own
 * stack, so nesting needs no stack of the virtual machine, and stops at the first error that leaves open what the rest
 * means, and at the limits of size, depth and number of forms.
 */
public final class SexprReader {
    private final SexprLexer lexer;
    private final ReaderLimits limits;
    private final Diagnostics diagnostics;
    private final List<Form> topLevel = new ArrayList<>();
    private final ArrayDeque<OpenSequence> open = new ArrayDeque<>();
    private int formCount;
    private boolean failed;

    private record OpenSequence(SourcePosition place, boolean square, List<Form> items) {}

    private SexprReader(String text, ReaderLimits limits, Diagnostics diagnostics) {
        this.lexer = new SexprLexer(text, diagnostics);
        this.limits = limits;
        this.diagnostics = diagnostics;
    }

    /** Returns the forms of a file in UTF-8; errors are reported, and the forms before the first are returned. */
    public static List<Form> read(byte[] file, ReaderLimits limits, Diagnostics diagnostics) {
        if (file.length > limits.bytes()) {
            diagnostics.add(
                    SourcePosition.START,
                    "the file has " + file.length + " bytes; at most " + limits.bytes() + " are read");
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
            diagnostics.add(SourcePosition.START, "the file is not text in UTF-8");
            return List.of();
        }
        SexprReader reader = new SexprReader(text, limits, diagnostics);
        reader.parse();
        return reader.topLevel;
    }

    private void parse() {
        while (!failed) {
            Token token = lexer.next();
            if (token instanceof Token.Open bracket) {
                open(bracket);
            } else if (token instanceof Token.Close bracket) {
                close(bracket);
            } else if (token instanceof Token.Atom atom) {
                add(atom.form());
            } else {
                break;
            }
        }
        if (!failed && !lexer.failed() && !open.isEmpty()) {
            reportUnclosed();
        }
    }

    private void open(Token.Open bracket) {
        if (open.size() >= limits.depth()) {
            fail(bracket.place(), "brackets more than " + limits.depth() + " deep");
            return;
        }
        open.push(new OpenSequence(bracket.place(), bracket.square(), new ArrayList<>(4)));
    }

    private void close(Token.Close bracket) {
        OpenSequence last = open.peek();
        if (last == null) {
            fail(bracket.place(), "a " + closing(bracket.square()) + " that closes nothing");
        } else if (last.square() != bracket.square()) {
            fail(
                    bracket.place(),
                    "expected " + closing(last.square()) + " for the bracket at " + last.place() + ", found "
                            + closing(bracket.square()));
        } else {
            open.pop();
            add(new Form.Sequence(List.copyOf(last.items()), last.square(), last.place()));
        }
    }

    private void reportUnclosed() {
        OpenSequence last = open.peek();
        String others = open.size() > 1 ? "; nor are " + (open.size() - 1) + " before it" : "";
        fail(last.place(), "this " + (last.square() ? "[" : "(") + " is never closed" + others);
    }

    private static String closing(boolean square) {
        return square ? "]" : ")";
    }

    private void add(Form form) {
        if (++formCount > limits.forms()) {
            fail(form.place(), "more than " + limits.forms() + " forms");
            return;
        }
        (open.isEmpty() ? topLevel : open.peek().items()).add(form);
    }

    private void fail(SourcePosition place, String message) {
        diagnostics.add(place, message);
        failed = true;
    }
}
