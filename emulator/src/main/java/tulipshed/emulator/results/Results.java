package tulipshed.emulator.results;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;
import tulipshed.emulator.loadtest.NodeUsage;
import tulipshed.emulator.model.RunResult;

/**
 * A folder of results. Each run leaves three files named by its key: what came of it, its seconds and its histograms.
 * A run with real nodes leaves a fourth, on what each of them used. The first is written last and under another name until it is whole, so a run is there entirely or not at all
 * (docs/emulator.md describes the columns).
 */
public final class Results implements AutoCloseable {
    /** Raised with every change of a column's meaning. */
    public static final int SCHEMA = 1;

    private final Path folder;
    private final Connection db;

    /** Opens a folder, which is made where it is not there. */
    public Results(Path folder) {
        this.folder = folder;
        try {
            Files.createDirectories(folder);
            db = DriverManager.getConnection("jdbc:duckdb:");
            try (Statement s = db.createStatement()) {
                s.execute("SET threads = 1");
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (SQLException e) {
            throw new IllegalStateException(e);
        }
    }

    private Path file(String what, String key) {
        return folder.resolve(what + "-" + key + ".parquet");
    }

    /** Whether a run of this key has been written whole. */
    public boolean has(String key) {
        return Files.exists(file("run", key));
    }

    /** Keeps what came of a run. */
    public synchronized void write(String key, Map<String, String> parameters, RunResult o) {
        try {
            seconds(key, o);
            histograms(key, o);
            run(key, parameters, o);
        } catch (SQLException e) {
            throw new IllegalStateException(e);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void run(String key, Map<String, String> parameters, RunResult o) throws SQLException, IOException {
        StringBuilder columns = new StringBuilder(
                "run_key VARCHAR, scenario VARCHAR, policy VARCHAR, seed BIGINT, "
                        + "parameters VARCHAR, nodes INTEGER, members INTEGER, virtual_s DOUBLE, took_s DOUBLE, messages BIGINT, trace BIGINT");
        o.figures().keySet().forEach(f -> columns.append(", \"").append(f).append("\" DOUBLE"));
        List<Object> row = new ArrayList<>(List.of(
                key,
                o.scenario().name(),
                o.scenario().policy(),
                o.seed(),
                describe(parameters),
                o.scenario().nodes().count(),
                o.loads().length,
                o.scenario().durationMs() / 1000,
                o.tookS(),
                o.messages(),
                o.trace()));
        row.addAll(o.figures().values());
        table("run", key, columns.toString(), List.<Object[]>of(row.toArray()));
    }

    /** Parameters as one text, in the order of their names. */
    public static String describe(Map<String, String> parameters) {
        StringBuilder out = new StringBuilder();
        new TreeMap<>(parameters)
                .forEach((k, v) -> out.append(out.length() == 0 ? "" : ";")
                        .append(k)
                        .append('=')
                        .append(v));
        return out.toString();
    }

    private void seconds(String key, RunResult o) throws SQLException, IOException {
        List<Object[]> rows = new ArrayList<>();
        int n = (int) Math.ceil(o.scenario().durationMs() / 1000);
        for (int s = 0; s < n; s++) {
            List<Object> row = new ArrayList<>(List.of(key, s));
            for (long[] series : o.seconds().values()) {
                row.add(series[s]);
            }
            int at = s;
            float[] loads = new float[o.loads().length];
            int count = 0;
            for (float[] l : o.loads()) {
                if (l[at] >= 0) {
                    loads[count++] = l[at];
                }
            }
            Arrays.sort(loads, 0, count);
            for (double q : new double[] {0.05, 0.5, 0.95, 1}) {
                row.add(count == 0 ? 0.0 : (double) loads[Math.min(count - 1, (int) (q * count))]);
            }
            rows.add(row.toArray());
        }
        StringBuilder columns = new StringBuilder("run_key VARCHAR, second INTEGER");
        o.seconds().keySet().forEach(c -> columns.append(", ").append(c).append(" BIGINT"));
        columns.append(", load_p5 DOUBLE, load_p50 DOUBLE, load_p95 DOUBLE, load_max DOUBLE");
        table("seconds", key, columns.toString(), rows);
    }

    /** Keeps what the nodes of a run with real processes used, a row for each. */
    public synchronized void writeNodes(String key, List<NodeUsage> nodes) {
        List<Object[]> rows = new ArrayList<>();
        for (NodeUsage node : nodes) {
            rows.add(new Object[] {
                key,
                node.node(),
                node.cpuSeconds(),
                node.peakMemoryMib(),
                node.peakDescriptors(),
                node.endpointConnections(),
                node.listBytes(),
                node.requests(),
                node.served()
            });
        }
        try {
            table(
                    "nodes",
                    key,
                    "run_key VARCHAR, node INTEGER, cpu_s DOUBLE, peak_memory_mib DOUBLE, peak_descriptors INTEGER, "
                            + "endpoint_connections BIGINT, list_bytes BIGINT, requests BIGINT, served BIGINT",
                    rows);
        } catch (SQLException e) {
            throw new IllegalStateException(e);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void histograms(String key, RunResult o) throws SQLException, IOException {
        List<Object[]> rows = new ArrayList<>();
        histogram(key, "setup", o.setupUs(), rows);
        histogram(key, "wait", o.waitUs(), rows);
        table("histogram", key, "run_key VARCHAR, what VARCHAR, up_to_us BIGINT, count BIGINT", rows);
    }

    private static void histogram(String key, String what, Histogram h, List<Object[]> rows) {
        for (HistogramIterationValue v : h.recordedValues()) {
            rows.add(new Object[] {key, what, v.getValueIteratedTo(), v.getCountAddedInThisIterationStep()});
        }
    }

    private void table(String what, String key, String columns, List<Object[]> rows) throws SQLException, IOException {
        try (Statement s = db.createStatement()) {
            s.execute("CREATE OR REPLACE TABLE t (" + columns + ")");
        }
        int n = columns.split(",").length;
        try (PreparedStatement p = db.prepareStatement("INSERT INTO t VALUES (" + "?, ".repeat(n - 1) + "?)")) {
            for (Object[] row : rows) {
                for (int i = 0; i < n; i++) {
                    p.setObject(i + 1, row[i]);
                }
                p.addBatch();
            }
            if (!rows.isEmpty()) {
                p.executeBatch();
            }
        }
        Path whole = file(what, key);
        Path part = folder.resolve(whole.getFileName() + ".part");
        try (Statement s = db.createStatement()) {
            s.execute("COPY t TO '" + part.toString().replace("'", "''") + "' (FORMAT parquet, COMPRESSION zstd, "
                    + "KV_METADATA {tulipshed_schema: '" + SCHEMA + "', tulipshed_table: '" + what + "'})");
        }
        Files.move(part, whole, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** All rows of a table, each by its columns; empty where there is none. */
    public synchronized List<Map<String, Object>> read(String table) {
        return query("SELECT * FROM " + from(table));
    }

    /** The files of a table as one, for a query. */
    public String from(String table) {
        return "read_parquet('" + folder.toString().replace("'", "''") + "/" + table
                + "-*.parquet', union_by_name = true)";
    }

    /** Whether there is anything to read. */
    public boolean any() {
        try (var files = Files.list(folder)) {
            return files.anyMatch(f -> f.getFileName().toString().matches("run-.*\\.parquet"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The rows that a query gives. */
    public synchronized List<Map<String, Object>> query(String sql) {
        try (Statement s = db.createStatement();
                ResultSet r = s.executeQuery(sql)) {
            List<Map<String, Object>> out = new ArrayList<>();
            int n = r.getMetaData().getColumnCount();
            while (r.next()) {
                Map<String, Object> row = new LinkedHashMap<>();
                for (int i = 1; i <= n; i++) {
                    row.put(r.getMetaData().getColumnName(i), r.getObject(i));
                }
                out.add(row);
            }
            return out;
        } catch (SQLException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    @Override
    public void close() {
        try {
            db.close();
        } catch (SQLException e) {
            throw new IllegalStateException(e);
        }
    }
}
