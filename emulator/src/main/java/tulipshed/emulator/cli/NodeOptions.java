package tulipshed.emulator.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Option;
import tulipshed.emulator.loadtest.NodeCommand;

/** Which real nodes a command starts, and how. */
final class NodeOptions {
    @Option(
            names = "--deploy",
            defaultValue = "deploy/balancer.toml",
            description = "The deploy file whose run starts a node (default ${DEFAULT-VALUE}).")
    private Path deployFile;

    @Option(names = "--node", description = "Another jar of the node in place of that of run.")
    private Path jar;

    /**
     * Returns the command that starts a node.
     *
     * @throws IllegalArgumentException if there is no deploy file, or no jar of the node
     */
    NodeCommand command() {
        if (!Files.exists(deployFile)) {
            throw new IllegalArgumentException("no deploy file at " + deployFile);
        }
        NodeCommand deployed = NodeCommand.ofDeployment(deployFile);
        NodeCommand command = jar == null ? deployed : deployed.withJar(jar);
        if (!Files.exists(command.jar())) {
            throw new IllegalArgumentException("no jar of the node at " + command.jar());
        }
        return command;
    }
}
