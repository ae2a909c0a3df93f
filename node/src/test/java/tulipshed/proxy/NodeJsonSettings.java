package tulipshed.proxy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import tulipshed.config.NodeConfig;
import tulipshed.decision.api.BalancerSettings;
import tulipshed.decision.api.RequestClass;

/** The settings of the test resource {@code node.json}, and variants of them. */
final class NodeJsonSettings {
    private static final Path NODE_SETTINGS = Path.of("src/test/resources/node.json");

    private NodeJsonSettings() {}

    /** The settings of {@code node.json}. */
    static BalancerSettings nodeSettings() {
        return NodeConfig.load(Map.of("PROXY_CONFIG", NODE_SETTINGS.toString())).settings();
    }

    /** The settings with different classes. */
    static BalancerSettings withClasses(BalancerSettings settings, List<RequestClass> classes) {
        return new BalancerSettings(
                settings.nodeIndex(),
                settings.nodeCount(),
                settings.zone(),
                settings.passThrough(),
                settings.polledDiscovery(),
                settings.groupAffinity(),
                settings.weightSemantics(),
                settings.loadReportSource(),
                settings.limits(),
                settings.rules(),
                settings.prices(),
                classes,
                settings.tenants());
    }

    /** The configuration of {@code node.json} with every occurrence of {@code replaced} replaced. */
    static NodeConfig load(String replaced, String replacement) {
        try {
            Path file = Files.createTempFile("node", ".json");
            Files.writeString(file, Files.readString(NODE_SETTINGS).replace(replaced, replacement));
            NodeConfig config = NodeConfig.load(Map.of("PROXY_CONFIG", file.toString()));
            Files.delete(file);
            return config;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
