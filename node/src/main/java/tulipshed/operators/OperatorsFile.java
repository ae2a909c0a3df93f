package tulipshed.operators;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import tulipshed.config.MalformedInputException;
import tulipshed.config.NameIndex;
import tulipshed.routing.Router;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.SexprReader;

/**
 * The operators' own file, read and compiled: rules for transactions, pools and routes, and the second front. An empty
 * file, or none, changes nothing.
 *
 * @param router null where the file has no rules
 * @param quic null where the second front is off
 */
public record OperatorsFile(Router router, QuicSection quic, Explanation explanation) {
    /** What a file may be at most: bytes, brackets inside each other, forms. */
    public static final SexprReader.Bounds BOUNDS = new SexprReader.Bounds(2 * 1024 * 1024, 200, 200_000);

    /** What no file says. */
    public static final OperatorsFile EMPTY = new OperatorsFile(null, null, new Explanation());

    /** Reads a file against the names of the settings; {@link InvalidOperatorsFileException} tells all that is wrong with it. */
    public static OperatorsFile load(Path file, NameIndex names) {
        byte[] bytes;
        try {
            if (Files.size(file) > BOUNDS.bytes()) {
                throw new MalformedInputException(file + ":1:1: the file has " + Files.size(file) + " bytes; at most "
                        + BOUNDS.bytes() + " are read");
            }
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new MalformedInputException(
                    "cannot read " + file + ": " + e.getClass().getSimpleName());
        }
        return read(file.toString(), bytes, names);
    }

    /** Reads the bytes of a file that errors call by that name. */
    public static OperatorsFile read(String name, byte[] bytes, NameIndex names) {
        Diagnostics problems = new Diagnostics(name);
        List<Form> forms = SexprReader.read(bytes, BOUNDS, problems);
        OperatorsFile file = problems.none() ? new SectionReader(names, problems).read(forms) : null;
        if (!problems.none()) {
            throw new InvalidOperatorsFileException(problems);
        }
        return file;
    }
}
