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
import tulipshed.sexpr.ReaderLimits;
import tulipshed.sexpr.SexprReader;

/**
 * The operators' file, compiled: classification rules, pools and routes, and the QUIC frontend. An empty file has
 * no effect.
 *
 * @param router the router; null only if the file declares no attributes, maximum lengths, classification rules,
 *     pools or routes
 * @param quic the QUIC frontend's section; null if there is none
 * @param explanation the description of the content for operators
 */
public record OperatorsFile(Router router, QuicSection quic, Explanation explanation) {
    /** The size, depth and form limits of a file. */
    public static final ReaderLimits BOUNDS = new ReaderLimits(2 * 1024 * 1024, 200, 200_000);

    /** The content of an empty file. */
    public static final OperatorsFile EMPTY = new OperatorsFile(null, null, new Explanation());

    /**
     * Reads a file and checks it against the classes and tenants of the settings.
     *
     * @throws InvalidOperatorsFileException if the file has errors
     * @throws MalformedInputException if the file is too large or cannot be read
     */
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

    /**
     * Reads the content of a file.
     *
     * @param name the file name that diagnostics show
     * @param bytes the content of the file
     * @param names the classes and tenants of the settings
     *
     * @throws InvalidOperatorsFileException if the content has errors
     */
    public static OperatorsFile read(String name, byte[] bytes, NameIndex names) {
        Diagnostics diagnostics = new Diagnostics(name);
        List<Form> forms = SexprReader.read(bytes, BOUNDS, diagnostics);
        OperatorsFile file = diagnostics.none() ? OperatorsFileReader.read(forms, names, diagnostics) : null;
        if (!diagnostics.none()) {
            throw new InvalidOperatorsFileException(diagnostics);
        }
        return file;
    }
}
