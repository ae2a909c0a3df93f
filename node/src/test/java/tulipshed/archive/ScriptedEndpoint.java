package tulipshed.archive;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import tulipshed.quic.QuicExchange;
import tulipshed.testing.LoopbackSockets;

/**
 * An endpoint on loopback whose reply to the first attempt of a request is named by the request's key; later attempts, and
 * keys that name no reply, are served. Each connection has a daemon thread of its own. UDP datagrams to the same port are
 * answered as by a QUIC server.
 */
final class ScriptedEndpoint implements AutoCloseable {
    private static final int BACKLOG = 50;
    private static final int KEY_WORD = 2;

    private final String id;
    private final Set<String> attemptedKeys;
    private final ServerSocket listener;
    private final Closeable quicServer;

    /** What is sent in reply to an open command, and what follows. */
    private enum Reply {
        SERVE,
        BUSY,
        ERR,
        RESET,
        SILENCE,
        BYE,
        MOVE,
        LOAD
    }

    /**
     * Listens on a free port.
     *
     * @param number its number, from 1 on, which is its QUIC server ID too
     * @param attemptedKeys the keys that any endpoint has received, shared by all
     */
    ScriptedEndpoint(int number, Set<String> attemptedKeys) throws IOException {
        id = "s-" + number;
        this.attemptedKeys = attemptedKeys;
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        quicServer = QuicExchange.serve(number, new DatagramSocket(address()));
        daemon(this::acceptConnections);
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    String id() {
        return id;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private void acceptConnections() {
        try {
            while (!listener.isClosed()) {
                Socket connection = listener.accept();
                daemon(() -> handle(connection));
            }
        } catch (IOException e) {
            // The listener was closed.
            return;
        }
    }

    private void handle(Socket connection) {
        try (connection) {
            BufferedReader in = LoopbackSockets.reader(connection);
            String first = in.readLine();
            if (first != null && first.startsWith("PING")) {
                LoopbackSockets.send(connection, "PONG\r\n");
            } else if (first != null) {
                reply(connection, in, replyTo(first.split(" ")[KEY_WORD]));
            }
        } catch (IOException e) {
            // The node closed the connection.
            return;
        }
    }

    private Reply replyTo(String key) {
        if (!attemptedKeys.add(key)) {
            return Reply.SERVE;
        }
        String word = key.replaceFirst("-.*", "");
        return Map.of(
                        "busy", Reply.BUSY,
                        "err", Reply.ERR,
                        "reset", Reply.RESET,
                        "silence", Reply.SILENCE,
                        "bye", Reply.BYE,
                        "move", Reply.MOVE,
                        "load", Reply.LOAD)
                .getOrDefault(word, Reply.SERVE);
    }

    private void reply(Socket connection, BufferedReader in, Reply reply) throws IOException {
        switch (reply) {
            case BUSY, ERR -> LoopbackSockets.send(connection, reply + "\r\n");
            case RESET -> connection.setSoLinger(true, 0);
            case SILENCE -> in.readLine();
            case BYE, MOVE -> LoopbackSockets.send(connection, "UP " + id + "\r\n" + reply + "\r\n");
            default -> {
                LoopbackSockets.send(connection, "UP " + id + "\r\n" + (reply == Reply.LOAD ? "LOAD 3\r\n" : ""));
                echo(connection, in);
            }
        }
    }

    private static void echo(Socket connection, BufferedReader in) throws IOException {
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            LoopbackSockets.send(connection, line + "\r\n");
        }
    }

    /** Returns a set for the keys that endpoints share. */
    static Set<String> newKeySet() {
        return ConcurrentHashMap.newKeySet();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        quicServer.close();
    }
}
