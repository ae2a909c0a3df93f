package tulipshed.sexpr;

/** One thing that is wrong with a file. */
public record Problem(String file, Place place, String message) {
    @Override
    public String toString() {
        return file + ":" + place + ": " + message;
    }
}
