package tulipshed.testing;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Free ports, client sockets and blocking ASCII input and output on the loopback address. */
public final class LoopbackSockets {
    private static final int READ_TIMEOUT_MS = 5_000;

    private LoopbackSockets() {}

    /** Returns a TCP port that has no listener at the moment of the call. */
    public static int freeTcpPort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** Returns a UDP port that is not bound at the moment of the call. */
    public static int freeUdpPort() throws IOException {
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /**
     * Binds a TCP port and does not listen: connections to it are refused, and no other program is given the port, until the
     * socket is closed.
     */
    public static Socket reserveClosedPort() throws IOException {
        Socket reserved = new Socket();
        reserved.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return reserved;
    }

    /** Opens a listener on a free port, with this backlog. */
    public static ServerSocket listen(int backlog) throws IOException {
        return new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
    }

    /** Connects to a port; reads from the socket time out after 5 s. */
    public static Socket connect(int port) throws IOException {
        return connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    /** Connects to an address; reads from the socket time out after 5 s. */
    public static Socket connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    /** Returns a reader of the socket's ASCII lines; it buffers, so use one reader per socket. */
    public static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    /** Writes ASCII text unchanged, without adding a line end. */
    public static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Sends one GET request to a port and returns the response with status line and headers, read to its end. */
    public static String httpGet(int port, String path) throws IOException {
        try (Socket client = connect(port)) {
            send(client, "GET " + path + " HTTP/1.1\r\nHost: n0\r\n\r\n");
            return new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }
}
