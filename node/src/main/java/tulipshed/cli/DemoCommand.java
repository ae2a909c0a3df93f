package tulipshed.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.kohsuke.args4j.Option;
import tulipshed.config.MalformedInputException;
import tulipshed.config.NodeConfig;
import tulipshed.demo.StubDiscovery;
import tulipshed.demo.StubEndpoint;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.operators.OperatorsFile;
import tulipshed.time.SystemClock;

/** A node with stand-ins for all that it needs, on loopback, and a short session through it. */
public final class DemoCommand implements Command {
    private static final int DESCRIPTORS = 1024;
    private static final int PATIENCE_MS = 10_000;

    @Option(name = "--keep", usage = "go on serving after the session, until the program is told to stop")
    private boolean keep;

    private final List<StubEndpoint> members = new ArrayList<>();
    private int ids;
    private InetSocketAddress address;

    @Override
    public String description() {
        return "starts a node with stand-ins on loopback, plays a short session through it and says what happened";
    }

    @Override
    public int run() {
        try (StubDiscovery discovery = new StubDiscovery()) {
            for (int i = 1; i <= 3; i++) {
                members.add(new StubEndpoint("s-" + i));
                tell(discovery, i - 1, "SERVING");
            }
            say("A discovery on " + discovery.address() + " names three members: s-1 and s-2 (std-2c), s-3 (std-4c).");
            Node node = node(discovery.address());
            address = node.address();
            say("A node serves on " + address + ", with the rules of example/tulipshed.sexp.");
            boolean sound = session(discovery, node);
            if (keep) {
                say(
                        "It goes on serving; end it with SIGTERM or Ctrl-C. Try: OPEN 1 desk-7 c=slot-board,t=melnik-terminal,d=2000");
                new CountDownLatch(1).await();
            }
            node.shutDown();
            say(sound ? "All of it as it should be." : "Something was not as it should be.");
            return sound ? 0 : 1;
        } catch (IOException e) {
            throw new MalformedInputException("the demo could not go on: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }

    private static void say(String line) {
        System.out.println(line);
    }

    private void tell(StubDiscovery discovery, int member, String state) {
        discovery.publish(
                members.get(member).id(),
                members.get(member).address(),
                member == 1 ? "usti" : "decin",
                member == 2 ? "std-4c" : "std-2c",
                state);
    }

    private static Node node(InetSocketAddress discovery) throws IOException {
        Path folder = Files.createTempDirectory("tulipshed-demo");
        try {
            Path config = Files.writeString(
                    folder.resolve("node.json"),
                    resource("node.json")
                            .replaceAll("\"listen\": *\"[^\"]*\"", "\"listen\": \"127.0.0.1:0\"")
                            .replaceAll(
                                    "\"discovery\": *\"[^\"]*\"",
                                    "\"discovery\": \"127.0.0.1:" + discovery.getPort() + "\""));
            NodeConfig read = NodeConfig.load(Map.of("PROXY_CONFIG", config.toString()));
            OperatorsFile rules = OperatorsFile.read(
                    "example/tulipshed.sexp",
                    resource("tulipshed.sexp")
                            .replace("127.0.0.1:4433", "127.0.0.1:0")
                            .getBytes(StandardCharsets.UTF_8),
                    read.nameIndex());
            // The list that the configuration remembers names members that are not there.
            return new Node(
                    read.standalone(),
                    rules,
                    Limits.forDescriptors(DESCRIPTORS),
                    new SystemClock(),
                    NodeLog.to(line -> say("  [node] " + line)));
        } finally {
            Files.deleteIfExists(folder.resolve("node.json"));
            Files.delete(folder);
        }
    }

    private static String resource(String name) throws IOException {
        try (InputStream in = DemoCommand.class.getResourceAsStream("/tulipshed/demo/" + name)) {
            if (in == null) {
                throw new IOException(name + " is not in this program");
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private boolean session(StubDiscovery discovery, Node node) throws IOException, InterruptedException {
        waitFor(node, 3);
        boolean sound = true;
        sound &= asks(
                "A booking of 60 containers is large, so it is held to the new halls:",
                "k1 c=slot-booking,t=melnik-terminal,d=2000,containers=60",
                "UP s-3");
        sound &= asks(
                "One from berth b7 goes near, to decin:",
                "k2 c=gate-status,t=usti-preprava,d=1000,berth=b7",
                "UP s-[13]");
        int fresh = 0;
        for (int i = 0; i < 40; i++) {
            fresh += answer("board-" + i + " c=slot-board,t=polabi-logistika,d=4000")
                            .equals("UP s-3")
                    ? 1
                    : 0;
        }
        say("Of 40 boards, split 70 to 30 by their keys, " + fresh + " went to the new halls.");
        sound &= fresh > 3 && fresh < 25;
        sound &= asks(
                "A first line whose containers are no number:",
                "k3 c=slot-booking,t=melnik-terminal,d=2000,containers=many",
                "ERR");
        tell(discovery, 2, "DRAINING");
        waitFor(node, 2);
        sound &= asks(
                "The new halls drain, so a large booking spills to the old ones:",
                "k4 c=slot-booking,t=melnik-terminal,d=2000,containers=60",
                "UP s-[12]");
        return sound;
    }

    /** Waits until the node has heard how many members serve. */
    private static void waitFor(Node node, int serving) throws IOException, InterruptedException {
        for (int i = 0; i < PATIENCE_MS / 10; i++) {
            if (node.servingEndpointCount() == serving) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
        throw new IOException("the list did not arrive");
    }

    private boolean asks(String what, String line, String want) throws IOException {
        String answer = answer(line);
        boolean as = answer.matches(want);
        say(what + "\n  OPEN ... " + line + "\n  " + answer + (as ? "" : "   (expected " + want + ")"));
        return as;
    }

    private String answer(String line) throws IOException {
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.setSoTimeout(PATIENCE_MS);
            client.getOutputStream()
                    .write(("OPEN demo" + ++ids + " " + line + "\r\n").getBytes(StandardCharsets.US_ASCII));
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.US_ASCII));
            return String.valueOf(in.readLine());
        }
    }
}
