package standin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One TCP connection with lines of the protocol: each ends with CRLF. */
public final class Line implements AutoCloseable {
    private final Socket socket;
    private final InputStream in;
    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

    public Line(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        in = socket.getInputStream();
    }

    public Socket socket() {
        return socket;
    }

    public void send(String line) throws IOException {
        sendRaw(line + "\r\n");
    }

    public void sendRaw(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The next line without its CRLF; null at the end of the connection. Throws SocketTimeoutException. */
    public String read(int timeoutMs) throws IOException {
        long endNs = System.nanoTime() + timeoutMs * 1_000_000L;
        while (true) {
            int leftMs = (int) ((endNs - System.nanoTime()) / 1_000_000);
            if (leftMs <= 0) {
                throw new java.net.SocketTimeoutException();
            }
            socket.setSoTimeout(leftMs);
            int next = in.read();
            if (next < 0) {
                return null;
            }
            partial.write(next);
            String text = partial.toString(StandardCharsets.ISO_8859_1);
            if (text.endsWith("\r\n")) {
                partial.reset();
                return text.substring(0, text.length() - 2);
            }
        }
    }

    /** What has come of a line that is not complete. */
    public String partial() {
        return partial.toString(StandardCharsets.ISO_8859_1);
    }

    /** Ends the connection with a reset, as the death of its process does. */
    public void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
