package tulipshed.quic;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * Measures the second front as a process of its own on one core, with the flags of {@code run}, against a bare relay of UDP in
 * the same run; clients and servers are here. Bounded in count and time. {@code docs/quic-design.md} has the command.
 *
 * <pre>QuicLab throughput|latency|memory|flood [seconds]</pre>
 */
final class QuicLab {
    private static final int SERVERS = 4;

    private QuicLab() {}

    /** The process that is measured: {@link QuicLabProcess} as node or as bare relay. */
    private static final class Measured implements AutoCloseable {
        private final Process process;
        private final BufferedReader in;
        private final PrintStream out;
        final InetSocketAddress address;

        Measured(String kind, List<QuicLabServer> servers) throws IOException {
            List<String> command = new ArrayList<>(List.of(
                    "taskset",
                    "-c",
                    "0",
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Xms16m",
                    "-Xmx64m",
                    "-Xss512k",
                    "-XX:MaxMetaspaceSize=40m",
                    "-XX:ReservedCodeCacheSize=24m",
                    "-XX:MaxDirectMemorySize=8m",
                    "--add-exports",
                    "java.base/sun.nio.ch=ALL-UNNAMED",
                    "-cp",
                    System.getProperty("java.class.path"),
                    QuicLabProcess.class.getName(),
                    kind));
            servers.forEach(s -> command.add(Integer.toString(s.address().getPort())));
            process = new ProcessBuilder(command)
                    .redirectError(ProcessBuilder.Redirect.INHERIT)
                    .start();
            in = new BufferedReader(new InputStreamReader(process.getInputStream(), UTF_8));
            out = new PrintStream(process.getOutputStream(), true);
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(in.readLine()));
        }

        /** Heap in use after a collection, in bytes, then connections, ids, sockets towards members. */
        long[] ask() throws IOException {
            out.println("ask");
            String[] parts = in.readLine().split(" ");
            long[] figures = new long[parts.length];
            for (int i = 0; i < parts.length; i++) {
                figures[i] = Long.parseLong(parts[i]);
            }
            return figures;
        }

        /** Processor time so far, in milliseconds. */
        double cpuMs() throws IOException {
            String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
            String[] f = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return 10.0 * (Long.parseLong(f[11]) + Long.parseLong(f[12]));
        }

        double residentKiB() throws IOException {
            return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                    .filter(l -> l.startsWith("VmRSS"))
                    .mapToDouble(l -> Double.parseDouble(l.replaceAll("\\D", "")))
                    .sum();
        }

        @Override
        public void close() {
            process.destroy();
        }
    }

    public static void main(String[] args) throws Exception {
        double seconds = args.length > 1 ? Math.min(60, Double.parseDouble(args[1])) : 8;
        List<QuicLabServer> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new QuicLabServer(i + 1));
        }
        switch (args[0]) {
            case "throughput" -> throughput(servers, seconds);
            case "latency" -> latency(servers, seconds);
            case "memory" -> {
                memory(servers);
                for (int i = SERVERS; i < 20; i++) {
                    servers.add(new QuicLabServer(i + 1));
                }
                memory(servers);
            }
            case "flood" -> flood(servers, seconds);
            default -> throw new IllegalArgumentException(args[0]);
        }
        System.exit(0);
    }

    private static void throughput(List<QuicLabServer> servers, double seconds) throws Exception {
        for (int round = 0; round < 3; round++) {
            for (String kind : List.of("relay", "node")) {
                for (int size : new int[] {100, 1200}) {
                    try (Measured m = new Measured(kind, servers);
                            QuicLabLoad load = new QuicLabLoad(m.address, 64, size)) {
                        load.open();
                        load.closedLoop(2, 8);
                        double cpu = m.cpuMs();
                        QuicLabLoad.Result r = load.closedLoop(seconds, 8);
                        cpu = m.cpuMs() - cpu;
                        System.out.printf(
                                "%s %d bytes: %.0f datagrams/s, %.2f us of processor each, %d lost of %d%n",
                                kind,
                                size,
                                2 * r.answered() / r.seconds(),
                                1000 * cpu / (2.0 * r.answered()),
                                r.lost(),
                                r.sent());
                    }
                }
            }
        }
    }

    private static void latency(List<QuicLabServer> servers, double seconds) throws Exception {
        for (String kind : List.of("straight", "relay", "node", "straight", "relay", "node")) {
            for (int rate : new int[] {2_000, 20_000}) {
                Measured m = kind.equals("straight") ? null : new Measured(kind, servers);
                InetSocketAddress to = m == null ? servers.get(0).address() : m.address;
                try (QuicLabLoad load = new QuicLabLoad(to, 64, 200)) {
                    load.open();
                    load.openLoop(2, rate, null);
                    Histogram h = new Histogram(10_000_000_000L, 3);
                    QuicLabLoad.Result r = load.openLoop(seconds, rate, h);
                    System.out.printf(
                            "%s %d/s: there and back p50 %.0f us, p99 %.0f us, p99.9 %.0f us; %d lost of %d%n",
                            kind,
                            rate,
                            h.getValueAtPercentile(50) / 1e3,
                            h.getValueAtPercentile(99) / 1e3,
                            h.getValueAtPercentile(99.9) / 1e3,
                            r.lost(),
                            r.sent());
                }
                if (m != null) {
                    m.close();
                }
            }
        }
    }

    private static void memory(List<QuicLabServer> servers) throws Exception {
        try (Measured m = new Measured("node", servers)) {
            QuicLabLoad warm = new QuicLabLoad(m.address, 500, 100);
            warm.open();
            warm.closedLoop(1, 1);
            long[] before = m.ask();
            double resident = m.residentKiB();
            QuicLabLoad load = new QuicLabLoad(m.address, 10_000, 100);
            load.open();
            load.closedLoop(2, 1);
            long[] after = m.ask();
            long more = after[1] - before[1];
            System.out.printf(
                    "%d connections more, %d ids, %d sockets towards members (%d before): %.0f bytes of heap each, "
                            + "%.0f bytes resident each%n",
                    more,
                    after[2],
                    after[3],
                    before[3],
                    (double) (after[0] - before[0]) / more,
                    1024 * (m.residentKiB() - resident) / more);
            if (Boolean.getBoolean("histogram")) {
                new ProcessBuilder("jcmd", Long.toString(m.process.pid()), "GC.class_histogram")
                        .inheritIO()
                        .start()
                        .waitFor();
            }
        }
    }

    private static void flood(List<QuicLabServer> servers, double seconds) throws Exception {
        for (QuicLabFlood.Kind kind : QuicLabFlood.Kind.values()) {
            for (int rate : new int[] {20_000}) {
                try (Measured m = new Measured("node", servers);
                        QuicLabLoad load = new QuicLabLoad(m.address, 64, 200)) {
                    load.open();
                    load.openLoop(2, 5_000, null);
                    double cpu = m.cpuMs();
                    QuicLabLoad.Result quiet = load.openLoop(seconds, 5_000, null);
                    cpu = m.cpuMs() - cpu;
                    long[] before = m.ask();
                    double flooded = m.cpuMs();
                    QuicLabFlood flood = new QuicLabFlood(m.address, kind, rate);
                    QuicLabLoad.Result under = load.openLoop(seconds, 5_000, null);
                    long sent = flood.stop();
                    flooded = m.cpuMs() - flooded;
                    long[] after = m.ask();
                    System.out.printf(
                            "%s, %.0f/s: answered %.2f%% (%.2f%% without), %.1f us of processor for each of the flood; "
                                    + "heap %d -> %d KiB, connections %d -> %d, ids %d -> %d%n",
                            kind,
                            sent / under.seconds(),
                            100.0 * under.answered() / under.sent(),
                            100.0 * quiet.answered() / quiet.sent(),
                            1000 * (flooded - cpu) / sent,
                            before[0] / 1024,
                            after[0] / 1024,
                            before[1],
                            after[1],
                            before[2],
                            after[2]);
                }
            }
        }
    }
}
