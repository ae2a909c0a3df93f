package tulipshed.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import tulipshed.config.NodeConfig;
import tulipshed.management.ManagementServer;
import tulipshed.operators.OperatorsFile;
import tulipshed.transport.XnioEventLoop;

/**
 * One node in service, from {@link #start} to {@link #shutDown}. Safe for use by any thread: each operation runs on the
 * node's event-loop thread.
 */
final class Node {
    private final NodeOptions options;
    private final NodeComponents components;
    private final ConfigurationReload configurationReload;
    private final XnioEventLoop loop;

    private Node(NodeOptions options, NodeComponents components) {
        this.options = options;
        this.components = components;
        configurationReload = new ConfigurationReload(options, components);
        loop = components.loop();
    }

    /**
     * Starts a node and waits until it accepts clients.
     *
     * @throws IOException when the clients' address cannot be bound, or when the calling thread is interrupted
     * @throws tulipshed.config.MalformedInputException when another address cannot be bound
     */
    static Node start(NodeOptions options) throws IOException {
        return new Node(options, NodeStartup.start(options));
    }

    /** Returns the address that line-protocol clients connect to. */
    InetSocketAddress address() {
        return components.clientListener().address();
    }

    /** Returns the address of the management server; empty when the configuration leaves it off. */
    Optional<InetSocketAddress> managementAddress() {
        return components.management().map(ManagementServer::address);
    }

    /** Returns how many endpoints are listed as serving, after all events before this call are processed. */
    long servingEndpointCount() {
        CompletableFuture<Long> count = new CompletableFuture<>();
        loop.execute(() -> count.complete(components.core().servingEndpoints()));
        return count.join();
    }

    /** Returns whether the node has begun to shut down. */
    boolean isShuttingDown() {
        return components.clientListener().isDraining();
    }

    /** Applies, soon and at once, what a running node can change of a new configuration. */
    void reload(NodeConfig changed, OperatorsFile operators) {
        boolean needsRestart = configurationReload.needsRestart(changed);
        loop.execute(() -> configurationReload.apply(changed, operators, needsRestart));
    }

    /**
     * Counts and logs a new configuration that could not be read; it changes nothing.
     *
     * @param reason what is wrong with it
     */
    void rejectConfiguration(String reason) {
        loop.execute(() -> configurationReload.reject(reason));
    }

    /** Shuts down gracefully and returns when done; see {@link GracefulShutdown}. Called once. */
    void shutDown() {
        double startMs = options.clock().nowMs();
        GracefulShutdown shutdown = new GracefulShutdown(options, components, configurationReload, startMs);
        loop.execute(shutdown::begin);
        shutdown.awaitCompletion();
        // A virtual machine that exits waits 300 ms for threads that are in system calls, as the loop's are, with all
        // sockets open until then.
        loop.stop();
    }
}
