package tulipshed.demo;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * An endpoint on loopback that accepts every open command and echoes the lines that follow; responds SYNTAX to any
 * other first line and closes the connection. Each connection has its own daemon thread.
 */
public final class StubEndpoint implements AutoCloseable {
    private static final int BACKLOG = 50;
    private static final int ACCEPT_RETRY_DELAY_MS = 5;

    private final String id;
    private final ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    /**
     * Starts an endpoint on a free port.
     *
     * @param id the ID in the endpoint list
     */
    public StubEndpoint(String id) throws IOException {
        this.id = id;
        StubDiscovery.daemonThread(this::acceptConnections).start();
    }

    /** Returns the ID in the endpoint list. */
    public String id() {
        return id;
    }

    /** Returns the address that the endpoint listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private void acceptConnections() {
        while (!listener.isClosed()) {
            try {
                Socket connection = listener.accept();
                StubDiscovery.daemonThread(() -> serve(connection)).start();
            } catch (IOException e) {
                // The listener was closed, or accepting failed temporarily.
                pauseAfterFailedAccept();
            }
        }
    }

    private static void pauseAfterFailedAccept() {
        try {
            TimeUnit.MILLISECONDS.sleep(ACCEPT_RETRY_DELAY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(Socket connection) {
        connections.add(connection);
        try (connection;
                BufferedReader in = new BufferedReader(
                        new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII))) {
            String first = in.readLine();
            boolean valid = first != null && first.startsWith("OPEN ");
            sendLine(connection, valid ? "UP " + id : "SYNTAX");
            for (String line = valid ? in.readLine() : null; line != null; line = in.readLine()) {
                sendLine(connection, line);
            }
        } catch (IOException e) {
            // The client or the node closed the connection.
            return;
        } finally {
            connections.remove(connection);
        }
    }

    private static void sendLine(Socket connection, String line) throws IOException {
        connection.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
