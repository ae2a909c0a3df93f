package tulipshed.cli;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.Option;

/** {@code demo}: runs a node with stub discovery and endpoints on loopback, and a short client session. */
public final class DemoCommand implements Command {
    @Option(name = "--keep", usage = "keep serving after the session, until the process is stopped")
    private boolean keep;

    @Override
    public String description() {
        return "starts a node with stub discovery and endpoints on loopback, runs a short session and prints the replies";
    }

    @Override
    public int run() {
        try (DemoEnvironment environment = DemoEnvironment.start()) {
            boolean asExpected = new DemoSession(environment).run();
            if (keep) {
                awaitTermination();
            }
            environment.node().shutDown();
            System.out.println(asExpected ? "All of it as it should be." : "Something was not as it should be.");
            return asExpected ? ExitCode.SUCCESS : ExitCode.FAILURE;
        } catch (IOException e) {
            System.err.println("tulipshed: demo failed: " + e);
            return ExitCode.FAILURE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILURE;
        }
    }

    private static void awaitTermination() throws InterruptedException {
        System.out.println("It goes on serving; end it with SIGTERM or Ctrl-C."
                + " Try: OPEN 1 desk-7 c=slot-board,t=melnik-terminal,d=2000");
        new CountDownLatch(1).await();
    }
}
