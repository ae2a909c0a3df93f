package tulipshed.cli;

import java.util.function.Function;
import java.util.function.Supplier;
import tulipshed.config.MalformedInputException;
import tulipshed.config.NodeConfig;
import tulipshed.operators.OperatorsFile;

/**
 * Reads the configuration again for a running node, once per reload request; requests before the node has started are
 * combined into one. The whole configuration is read and validated before the node changes any state. Safe for
 * use by any thread.
 */
final class ConfigurationReloader {
    private final Supplier<NodeConfig> configReader;
    private final Function<NodeConfig, OperatorsFile> operatorsReader;

    /** Null until the node has started. */
    private Node node;

    private boolean reloadPending;

    /**
     * Creates a reloader for a node that has not started yet.
     *
     * @param configReader reads the node's configuration; throws {@link MalformedInputException}
     * @param operatorsReader reads the operators' file, validated against the configuration that was just read, so that
     *     both or neither are applied; throws {@link MalformedInputException}
     */
    ConfigurationReloader(Supplier<NodeConfig> configReader, Function<NodeConfig, OperatorsFile> operatorsReader) {
        this.configReader = configReader;
        this.operatorsReader = operatorsReader;
    }

    /** Sets the node once it serves, and performs a reload that was requested earlier. */
    synchronized void nodeStarted(Node started) {
        node = started;
        if (reloadPending) {
            reload();
        }
    }

    /**
     * Reads and applies the configuration; before the node has started, the request is deferred. Synchronized so that
     * concurrent requests apply their files in the order in which they read them.
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
            // The file is read without a size limit and may not fit into the heap; nothing has been applied yet.
            node.rejectConfiguration("out of memory while reading the configuration");
        } catch (MalformedInputException e) {
            node.rejectConfiguration(e.getMessage());
        }
    }
}
