package tulipshed.quic;

import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;

/** A QUIC connection through a node: an Initial, then a packet that the server's connection ID routes. */
public final class QuicExchange {
    /** The key of the connection IDs that {@link #serve} makes, in hexadecimal. */
    public static final String ID_KEY = "8f95f09245765f80256934e50c66207f";

    private QuicExchange() {}

    /**
     * Starts a server that answers each packet.
     *
     * @param serverId the last byte of its server ID, the others being 0
     * @param socket where it receives; closed with it
     */
    public static Closeable serve(int serverId, DatagramSocket socket) {
        return new StandIns.Server(serverId, StandIns.Server.Manner.SERVES, socket)::close;
    }

    /** Opens a connection through a node and sends one more packet; returns whether both were answered. */
    public static boolean play(InetSocketAddress node) throws IOException {
        try (StandIns.Client client = new StandIns.Client(node, 1)) {
            client.send(client.initial());
            if (!client.hear().what().equals("served")) {
                return false;
            }
            client.sendNumber(1);
            return client.hear().what().equals("number");
        }
    }
}
