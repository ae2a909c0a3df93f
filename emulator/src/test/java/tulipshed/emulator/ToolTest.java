package tulipshed.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import tulipshed.emulator.cli.EmulatorMain;
import tulipshed.emulator.results.Results;

/** The command line, over results that it wrote itself. */
class ToolTest {
    @TempDir
    Path folder;

    private String run(int code, String... args) {
        StringWriter out = new StringWriter();
        CommandLine c =
                EmulatorMain.commandLine().setOut(new PrintWriter(out, true)).setErr(new PrintWriter(out, true));
        assertEquals(code, c.execute(args), out::toString);
        return out.toString();
    }

    private Path experiment(int seeds) throws Exception {
        return Files.writeString(
                folder.resolve("e.sexp"),
                "(scenario \"" + Path.of("scenarios/herd.sexp").toAbsolutePath() + "\") (seeds " + seeds
                        + ") (vary policy module least-of-two) (set seconds 25)");
    }

    /** What a kill leaves half written is done again, what is whole is not. */
    @Test
    void aSweepGoesOnWhereItWasStopped() throws Exception {
        String out = folder.resolve("r").toString();
        assertTrue(run(0, "sweep", experiment(2).toString(), "--out", out, "--quiet")
                .contains("4 of 4 runs done now"));
        Path one;
        try (Stream<Path> files = Files.list(folder.resolve("r"))) {
            one = files.filter(f -> f.getFileName().toString().startsWith("run-"))
                    .sorted()
                    .findFirst()
                    .orElseThrow();
        }
        byte[] whole = Files.readAllBytes(one);
        Files.move(one, one.resolveSibling(one.getFileName() + ".part"));
        Files.write(one.resolveSibling(one.getFileName() + ".part"), new byte[100]);
        assertTrue(run(0, "sweep", experiment(3).toString(), "--out", out, "--quiet")
                .contains("3 of 6 runs done now"));
        assertEquals(whole.length, Files.size(one), 32, "the same again, but for how long it took");
        try (Results r = new Results(folder.resolve("r"))) {
            assertEquals(6, r.read("run").size());
            assertEquals(
                    6L,
                    r.query("SELECT count(DISTINCT run_key) AS n FROM " + r.from("seconds"))
                            .get(0)
                            .get("n"));
            assertEquals(
                    "1",
                    r.query("SELECT decode(value) AS v FROM parquet_kv_metadata('" + one + "') WHERE decode(key) = "
                                    + "'tulipshed_schema'")
                            .get(0)
                            .get("v"));
            assertEquals(
                    "ZSTD",
                    r.query("SELECT DISTINCT compression AS c FROM parquet_metadata('" + one + "')")
                            .get(0)
                            .get("c"));
        }
    }

    @Test
    void comparisonsArePairedAndReportsHoldTheirPlots() throws Exception {
        String out = folder.resolve("r").toString();
        run(0, "sweep", experiment(6).toString(), "--out", out, "--quiet");
        String compared = run(
                0, "compare", out + "?policy=least-of-two", out + "?policy=module", "--figure", "service,cold_fell");
        assertTrue(compared.contains("over 6 pairs: " + out + "?policy=module is better"), compared);
        assertTrue(run(2, "compare", out, out, "--figure", "servce").contains("did you mean service?"));
        Path page = folder.resolve("p.html");
        run(
                0,
                "report",
                out,
                "--out",
                page.toString(),
                "--png",
                folder.resolve("png").toString());
        String html = Files.readString(page);
        assertTrue(html.contains("data:image/png;base64,") && !html.contains("src=\"http"), "one file has it all");
        assertTrue(Files.exists(folder.resolve("png/herd-service-by-second.png")));
        assertTrue(run(0, "query", out, "SELECT policy, count(*) AS n FROM runs GROUP BY policy ORDER BY policy")
                .contains("least-of-two\t6"));
    }

    @Test
    void whatIsWrongIsToldWithItsPlaceAndTheNearestName() throws Exception {
        Path bad = Files.writeString(
                folder.resolve("bad.sexp"),
                "(seconds 10)\n(nods (count 5))\n(members a (cores 0))\n" + "(trouble herdd (at-s 1))\n");
        String told = run(2, "run", bad.toString(), "--set", "clients.per-secnd=4");
        assertTrue(told.contains("bad:2:1: nothing is called nods here; did you mean nodes?"), told);
        assertTrue(told.contains("bad:3:12: members.a.cores is 0; from 1 to 1024 is possible"), told);
        assertTrue(told.contains("bad:4:10: expected one of"), told);
        assertTrue(told.contains("nothing is called clients.per-secnd; did you mean clients.per-second?"), told);
        assertThrows(IllegalArgumentException.class, () -> Worlds.text("(members a)", "policy=modul"));
    }

    @Test
    void aRunIsToldInWords() {
        String told = run(0, "replay", "scenarios/herd.sexp", "--seed", "2", "--at-ms", "18200", "--around-ms", "300");
        assertTrue(told.contains("a client asks") && told.contains("attempt 1 to"), told);
        assertEquals(
                told, run(0, "replay", "scenarios/herd.sexp", "--seed", "2", "--at-ms", "18200", "--around-ms", "300"));
        assertTrue(run(
                        0,
                        "run",
                        "scenarios/calm.sexp",
                        "--set",
                        "seconds=10",
                        "--out",
                        folder.resolve("r").toString())
                .contains("service"));
    }
}
