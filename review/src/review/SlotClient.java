package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One client of the line protocol: OPEN, then it stays for a while and leaves. */
public final class SlotClient {
    private SlotClient() {}

    /** Returns the node's answer, or null if it ended the connection without one or none came in time. */
    public static String open(
            Case of, int port, String id, String requestClass, String tenant, long waitMs, long stayMs) {
        String line = "OPEN " + id + " k" + id + " c=" + requestClass + ",t=" + tenant + ",d=" + waitMs + ",g=g" + id;
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
                var in = new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) waitMs + 1000);
            socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
            of.log("client sends " + line);
            String answer = in.readLine();
            of.log("client " + id + " is answered " + answer);
            if (answer != null && answer.startsWith("UP")) {
                Case.sleep(stayMs);
            }
            return answer;
        } catch (IOException e) {
            of.log("client " + id + " broke: " + e.getMessage());
            return null;
        }
    }
}
