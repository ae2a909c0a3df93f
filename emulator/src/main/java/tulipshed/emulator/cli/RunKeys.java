package tulipshed.emulator.cli;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import tulipshed.emulator.results.Results;
import tulipshed.emulator.scenario.Overrides;
import tulipshed.emulator.scenario.Scenario;

/** Names runs by all that they depend on, so that none is done twice and none is taken for another. */
final class RunKeys {
    private RunKeys() {}

    static String key(Scenario scenario, Overrides overrides, long seed) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256")
                    .digest((Results.SCHEMA + " " + scenario + " " + overrides + " " + seed)
                            .getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash, 0, 10);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
