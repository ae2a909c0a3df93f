package tulipshed.emulator.loadtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The tools start the program that is in service. */
class NodeCommandTest {
    private static final Path DEPLOY_FILE = Path.of("../deploy/balancer.toml");

    @TempDir
    private Path folder;

    private Path deployFile(String text) throws IOException {
        Path deploy = Files.createDirectory(folder.resolve("deploy"));
        return Files.writeString(deploy.resolve("balancer.toml"), text);
    }

    /** Regression: the tools' nodes ran with flags of the tools' own, without the class archive and the operators' file. */
    @Test
    void startsNodesAsTheDeploymentDoes() throws Exception {
        NodeCommand command = NodeCommand.ofDeployment(DEPLOY_FILE);
        String run = Files.readAllLines(DEPLOY_FILE).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        assertEquals("run = \"" + command.shellCommand() + "\"", run);
        assertEquals(List.of("sh", "-c", command.shellCommand()), command.words());
        assertEquals(Path.of("..").toRealPath(), command.directory());
    }

    @Test
    void processRunsTheCommandInTheFolderOfTheDeployment() throws Exception {
        Path file = deployFile("run = \"exec sh -c 'echo $PROXY_CONFIG serves on $PWD; cat' -jar none.jar\"\n");
        NodeProcess process = new NodeProcess(NodeCommand.ofDeployment(file), folder.resolve("c.json"), folder);
        try {
            process.start();
            while (process.said().isEmpty()) {
                Thread.onSpinWait();
            }
            String said = process.said().get(0).text();
            assertEquals(folder.resolve("c.json") + " serves on " + folder.toRealPath(), said);
        } finally {
            process.stop(false);
        }
    }

    @Test
    void anotherJarTakesThePlaceOfTheDeployments() throws Exception {
        NodeCommand deployed = NodeCommand.ofDeployment(deployFile("run = \"exec java -Xmx64m -jar a/b.jar serve\"\n"));
        assertEquals(folder.resolve("a/b.jar"), deployed.jar());
        NodeCommand other = deployed.withJar(Path.of("/other dir/n.jar"));
        assertEquals("exec java -Xmx64m -jar '/other dir/n.jar' serve", other.shellCommand());
        assertEquals(Path.of("/other dir/n.jar"), other.jar());
    }

    @Test
    void rejectsFilesWithoutACommand() throws Exception {
        Path file = deployFile("build = \"make\"\nrun = \"exec java Main\"\n");
        assertThrows(IllegalArgumentException.class, () -> NodeCommand.ofDeployment(file));
    }
}
