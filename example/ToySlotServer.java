import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A slot server that takes every connection and says back every line. */
final class ToySlotServer {
    private ToySlotServer() { }

    /** Takes connections on the loopback port given. */
    public static void main(String[] args) throws IOException {
        try (ServerSocket server = new ServerSocket(Integer.parseInt(args[0]), 50, InetAddress.getLoopbackAddress())) {
            for (int n = 1; true; n++) {
                Socket socket = server.accept();
                String receipt = "toy-" + n;
                new Thread(() -> serve(socket, receipt)).start();
            }
        }
    }

    private static void serve(Socket socket, String receipt) {
        try (socket) {
            BufferedReader in = new BufferedReader(
                    new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String first = in.readLine();
            if (first == null || !first.startsWith("OPEN ")) {
                say(socket, "ERR");
                return;
            }
            say(socket, "UP " + receipt);
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                say(socket, line);
            }
            say(socket, "BYE");
        } catch (IOException e) {
            System.err.println(receipt + ": " + e.getMessage());
        }
    }

    private static void say(Socket socket, String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
    }
}
