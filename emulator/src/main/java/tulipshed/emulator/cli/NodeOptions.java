package tulipshed.emulator.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/** The jar of the real nodes that a command starts. */
final class NodeJar {
    @Option(
            names = "--node",
            defaultValue = "node/target/tulipshed.jar",
            description = "The node's jar (default ${DEFAULT-VALUE}).")
    private Path jar;

    /**
     * Where it is.
     *
     * @throws IllegalArgumentException if there is none
     */
    Path path() {
        if (!Files.exists(jar)) {
            throw new IllegalArgumentException("no jar of the node at " + jar);
        }
        return jar;
    }
}
