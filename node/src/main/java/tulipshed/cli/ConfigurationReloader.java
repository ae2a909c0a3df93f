package tulipshed.cli;

import java.util.function.Function;
import java.util.function.Supplier;
import tulipshed.config.MalformedInputException;
import tulipshed.config.NodeConfig;
import tulipshed.operators.OperatorsFile;

/**
 * Reads the configuration again for a running node, once for each request to reload. All of it is read and validated
 * before the node changes anything. Safe for use by any thread.
 */
final class ConfigurationReloader {
    private final Supplier<NodeConfig> configReader;
    private final Function<NodeConfig, OperatorsFile> operatorsReader;

    /** Null until the node has started. */
    private Node node;

    private boolean reloadPending;

    /**
     * Creates a reloader for a node that has yet to start.
     *
     * @param configReader reads the node's configuration; throws {@link MalformedInputException}
     * @param operatorsReader reads the operators' file against the configuration that was just read, so that both
     *     change or neither; throws {@link MalformedInputException}
     */
    ConfigurationReloader(Supplier<NodeConfig> configReader, Function<NodeConfig, OperatorsFile> operatorsReader) {
        this.configReader = configReader;
        this.operatorsReader = operatorsReader;
    }

    /** Passes the node once it serves; a reload that was requested earlier is made now. */
    synchronized void nodeStarted(Node started) {
        node = started;
        if (reloadPending) {
            reload();
        }
    }

    /**
     * Reads and applies the configuration. Before the node has started the request is kept. Synchronized, so that of
     * concurrent requests the file that was read last takes effect last.
     */
    synchronized void reload() {
        if (node == null) {
            reloadPending = true;
            return;
        }
        try {
            NodeConfig config = configReader.get();
            node.reload(config, operatorsReader.apply(config));
        } catch (OutOfMemoryError e) {
            // Input bounds prevent this; the node's own state has not been touched.
            node.rejectConfiguration("no memory left to read it");
        } catch (MalformedInputException e) {
            node.rejectConfiguration(e.getMessage());
        }
    }
}
