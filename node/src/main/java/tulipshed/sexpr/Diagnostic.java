package tulipshed.sexpr;

/** An error in a file, at a position. */
public record Diagnostic(String file, SourcePosition place, String message) {
    @Override
    public String toString() {
        return file + ":" + place + ": " + message;
    }
}
