package tulipshed.emulator.loadtest;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * How the process of a node is started: by the command that a deploy file names, in the folder that the command's paths
 * are relative to.
 *
 * @param directory the working directory of the process
 * @param shellCommand a command for {@code sh -c} that ends in {@code exec}, so that the process of the shell becomes the
 *     node's
 */
public record NodeCommand(Path directory, String shellCommand) {
    private static final Pattern RUN_ENTRY = Pattern.compile("^run = \"(exec .*)\"$", Pattern.MULTILINE);
    private static final Pattern JAR_ARGUMENT = Pattern.compile(" -jar ('[^']+'|[^\\s']+)");

    /**
     * Reads the command {@code run} of a deployment.
     *
     * @param deployFile the deployment's {@code deploy/balancer.toml}; its paths are relative to the folder above
     *     {@code deploy}
     * @throws IllegalArgumentException if the file has no such command, or one that starts no jar
     * @throws UncheckedIOException if the file cannot be read
     */
    public static NodeCommand ofDeployment(Path deployFile) {
        Matcher run = RUN_ENTRY.matcher(read(deployFile));
        if (!run.find() || !JAR_ARGUMENT.matcher(run.group(1)).find()) {
            throw new IllegalArgumentException(deployFile + " names no command run that executes a jar");
        }
        Path directory = deployFile.toAbsolutePath().normalize().getParent().getParent();
        return new NodeCommand(directory, run.group(1));
    }

    private static String read(Path deployFile) {
        try {
            return Files.readString(deployFile);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read " + deployFile, e);
        }
    }

    /** Returns the same command with another jar. The class archive of the deployment is of no use to that one. */
    public NodeCommand withJar(Path jar) {
        String argument = " -jar '" + jar.toAbsolutePath() + "'";
        return new NodeCommand(
                directory, JAR_ARGUMENT.matcher(shellCommand).replaceFirst(Matcher.quoteReplacement(argument)));
    }

    /** Returns the jar that the process runs. */
    public Path jar() {
        Matcher argument = JAR_ARGUMENT.matcher(shellCommand);
        if (!argument.find()) {
            throw new IllegalStateException("no jar in " + shellCommand);
        }
        return directory.resolve(argument.group(1).replace("'", ""));
    }

    /** Returns the words that start the process. */
    List<String> words() {
        return List.of("sh", "-c", shellCommand);
    }
}
