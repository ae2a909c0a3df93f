package tulipshed.cli;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import tulipshed.config.NodeConfig;
import tulipshed.demo.StubDiscovery;
import tulipshed.demo.StubEndpoint;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.operators.OperatorsFile;
import tulipshed.time.SystemClock;

/**
 * The environment of the demo: a node and stubs of discovery and of three endpoints, all on free ports of the loopback
 * address. Not thread-safe.
 */
final class DemoEnvironment implements AutoCloseable {
    /** The index of the endpoint with another machine type, the only one in the pool of the new halls. */
    static final int NEW_HALLS_ENDPOINT = 2;

    private static final int ENDPOINTS = 3;
    private static final List<String> ZONES = List.of("decin", "usti", "decin");
    private static final List<String> MACHINE_TYPES = List.of("std-2c", "std-2c", "std-4c");
    private static final int DESCRIPTORS = 1024;

    private final StubDiscovery discovery = new StubDiscovery();
    private final List<StubEndpoint> endpoints = new ArrayList<>();
    private Node node;

    private DemoEnvironment() throws IOException {}

    /** Starts the stubs and then the node, and prints their addresses. */
    static DemoEnvironment start() throws IOException {
        DemoEnvironment environment = new DemoEnvironment();
        try {
            environment.startEndpoints();
            environment.startNode();
            return environment;
        } catch (IOException | RuntimeException e) {
            environment.close();
            throw e;
        }
    }

    private void startEndpoints() throws IOException {
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints.add(new StubEndpoint("s-" + (i + 1)));
            publish(i, "SERVING");
        }
        System.out.println("A discovery on " + discovery.address()
                + " lists three endpoints: s-1 and s-2 (std-2c), s-3 (std-4c).");
    }

    private void startNode() throws IOException {
        NodeConfig config = loadConfig();
        OperatorsFile operators = OperatorsFile.read(
                "example/tulipshed.sexp",
                resource("tulipshed.sexp")
                        .replace("127.0.0.1:4433", "127.0.0.1:0")
                        .getBytes(StandardCharsets.UTF_8),
                config.nameIndex());
        node = Node.start(NodeOptions.withoutHotRestart(
                config.standalone(),
                operators,
                Limits.forDescriptors(DESCRIPTORS),
                new SystemClock(),
                NodeLog.to(line -> System.out.println("  [node] " + line))));
        System.out.println("A node serves on " + node.address() + ", with the rules of example/tulipshed.sexp.");
    }

    /** Loads the example configuration with a free listen port and the address of the stub discovery. */
    private NodeConfig loadConfig() throws IOException {
        Path directory = Files.createTempDirectory("tulipshed-demo");
        Path file = directory.resolve("node.json");
        try {
            Files.writeString(
                    file,
                    resource("node.json")
                            .replaceAll("\"listen\": *\"[^\"]*\"", "\"listen\": \"127.0.0.1:0\"")
                            .replaceAll(
                                    "\"discovery\": *\"[^\"]*\"",
                                    "\"discovery\": \"127.0.0.1:"
                                            + discovery.address().getPort() + "\""));
            return NodeConfig.load(Map.of("PROXY_CONFIG", file.toString()));
        } finally {
            Files.deleteIfExists(file);
            Files.delete(directory);
        }
    }

    private static String resource(String name) throws IOException {
        try (InputStream in = DemoEnvironment.class.getResourceAsStream("/tulipshed/demo/" + name)) {
            if (in == null) {
                throw new IOException(name + " is missing from the program");
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Publishes a new state of an endpoint in discovery: SERVING, DRAINING or DELETED. */
    void publish(int endpoint, String state) {
        StubEndpoint stub = endpoints.get(endpoint);
        discovery.publish(stub.id(), stub.address(), ZONES.get(endpoint), MACHINE_TYPES.get(endpoint), state);
    }

    /** Returns the node, which the caller shuts down. */
    Node node() {
        return node;
    }

    /** Returns the address that clients connect to. */
    InetSocketAddress address() {
        return node.address();
    }

    /** Stops discovery; the endpoints run on daemon threads and end with the program. */
    @Override
    public void close() {
        discovery.close();
    }
}
