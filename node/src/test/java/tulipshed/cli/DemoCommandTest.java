package tulipshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The demo in a separate process whose temporary directory does not exist. */
class DemoCommandTest {
    @TempDir
    private Path directory;

    @Test
    @Timeout(60)
    void systemFailureIsNotCalledBadConfiguration() throws Exception {
        Process demo = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "--add-exports",
                        "java.base/sun.nio.ch=ALL-UNNAMED",
                        "-Djava.io.tmpdir=" + directory.resolve("missing"),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "tulipshed.cli.Main",
                        "demo")
                .redirectErrorStream(true)
                .start();
        String output = new String(demo.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(1, demo.waitFor(), output);
        assertTrue(output.contains("tulipshed: demo failed: "), output);
        assertFalse(output.contains("bad configuration"), output);
    }
}
