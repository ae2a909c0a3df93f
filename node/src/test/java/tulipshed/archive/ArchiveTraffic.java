package tulipshed.archive;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import tulipshed.quic.QuicExchange;
import tulipshed.testing.LoopbackSockets;

/**
 * A program that starts a node by a command, plays traffic of every kind through it, and shuts it down.
 *
 * <p>Its arguments are a number and the words of the command. With {@code -XX:ArchiveClassesAtExit} in the command, the node
 * leaves an archive of the classes that requests need. With {@code -Xlog:class+load}, the program prints for each kind of
 * exchange how many classes came from no archive, and fails if they are more than the number.
 */
public final class ArchiveTraffic {
    private static final String LOOPBACK = "127.0.0.1:";
    private static final String CLASSES_FROM_NO_ARCHIVE = " classes from no archive";
    private static final double TENANT_QUOTA_PER_S = 1e5;

    private final int maxUnarchivedClasses;
    private final List<String> command;
    private final Path directory = Files.createTempDirectory("tulipshed-archive");
    private boolean failed;

    private ArchiveTraffic(int maxUnarchivedClasses, List<String> command) throws IOException {
        this.maxUnarchivedClasses = maxUnarchivedClasses;
        this.command = command;
    }

    /** Runs the program; its exit code is 0 if every reply was as expected and no kind needed too many classes. */
    public static void main(String... args) throws Exception {
        List<String> words = List.of(args);
        ArchiveTraffic program = new ArchiveTraffic(Integer.parseInt(words.get(0)), words.subList(1, words.size()));
        try {
            program.run();
        } finally {
            program.deleteDirectory();
        }
        // Threads of the stubs may still wait in system calls.
        System.exit(program.failed ? 1 : 0);
    }

    private void run() throws Exception {
        int clientPort = LoopbackSockets.freeTcpPort();
        int quicPort = LoopbackSockets.freeUdpPort();
        int managementPort = LoopbackSockets.freeTcpPort();
        try (Traffic traffic = new Traffic()) {
            Path config = writeConfig(clientPort, traffic.discoveryAddress());
            Path operators = writeOperatorsFile(quicPort);
            try (ObservedNode node =
                    new ObservedNode(withOperatorsFile(operators), config, LOOPBACK + managementPort, directory)) {
                traffic.node(address(clientPort), address(quicPort), managementPort);
                node.awaitServing();
                playAndShutDown(traffic, node);
            }
        }
    }

    private void playAndShutDown(Traffic traffic, ObservedNode node) throws Exception {
        node.reload();
        try {
            play(traffic, node);
        } finally {
            node.shutDown();
        }
        traffic.expectMoveAtShutdown();
    }

    private void play(Traffic traffic, ObservedNode node) throws Exception {
        int before = node.unarchivedClasses();
        System.out.println("start and reload: " + before + CLASSES_FROM_NO_ARCHIVE);
        for (Map.Entry<String, Traffic.Exchange> exchange : traffic.exchanges().entrySet()) {
            try {
                exchange.getValue().play();
            } catch (IOException e) {
                System.err.println(exchange.getKey() + ": " + e.getMessage());
                failed = true;
            }
            node.reload();
            report(exchange.getKey(), node.unarchivedClasses(), before);
            before = node.unarchivedClasses();
        }
    }

    private void report(String kind, int loaded, int before) {
        int classes = loaded - before;
        System.out.println(kind + ": " + classes + CLASSES_FROM_NO_ARCHIVE);
        failed |= classes > maxUnarchivedClasses;
    }

    /** Writes the example's configuration with these addresses, health checks on and quotas that admit the traffic. */
    private Path writeConfig(int clientPort, InetSocketAddress discovery) throws IOException {
        String json = Files.readString(Path.of("example/node.json"))
                .replaceAll("\"listen\": *\"[^\"]*\"", "\"listen\": \"" + LOOPBACK + clientPort + "\"")
                .replaceAll("\"discovery\": *\"[^\"]*\"", "\"discovery\": \"" + LOOPBACK + discovery.getPort() + "\"")
                .replaceAll("\"QuotaPerS\": *[0-9.]+", "\"QuotaPerS\": " + TENANT_QUOTA_PER_S)
                .replace("\"Probes\": false", "\"Probes\": true");
        return Files.writeString(directory.resolve("node.json"), json);
    }

    /** Writes the example's operators' file for QUIC servers that number themselves as the endpoints of the traffic do. */
    private Path writeOperatorsFile(int quicPort) throws IOException {
        String text = Files.readString(Path.of("example/tulipshed.sexp"))
                .replace(LOOPBACK + "4433", LOOPBACK + quicPort)
                .replace("00112233445566778899aabbccddeeff", QuicExchange.ID_KEY);
        return Files.writeString(directory.resolve("tulipshed.sexp"), text);
    }

    private List<String> withOperatorsFile(Path operators) {
        List<String> words = new ArrayList<>(command);
        words.set(words.size() - 1, operators.toString());
        return words;
    }

    private static InetSocketAddress address(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private void deleteDirectory() throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
