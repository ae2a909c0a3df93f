package tulipshed.sexpr;

/** One thing that is wrong with a file. */
public record Diagnostic(String file, SourcePosition place, String message) {
    @Override
    public String toString() {
        return file + ":" + place + ": " + message;
    }
}
