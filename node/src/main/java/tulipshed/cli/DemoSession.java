package tulipshed.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** A short session of a line-protocol client, printed with its replies. Not thread-safe. */
final class DemoSession {
    private static final int TIMEOUT_MS = 10_000;
    private static final int POLL_INTERVAL_MS = 10;

    /** The number of requests of the class that the example splits 70 to 30 between old and new halls by key. */
    private static final int SPLIT_REQUESTS = 40;

    /** The lower bound, exclusive, of the number of those requests that go to the new halls. */
    private static final int SPLIT_LOWER_BOUND = 3;

    /** The upper bound, exclusive, of the number of those requests that go to the new halls. */
    private static final int SPLIT_UPPER_BOUND = 25;

    private final DemoEnvironment environment;
    private int requests;

    DemoSession(DemoEnvironment environment) {
        this.environment = environment;
    }

    /** Runs the session and returns whether all replies were as expected. */
    boolean run() throws IOException, InterruptedException {
        awaitServingEndpoints(3);
        boolean asExpected = expectReply(
                "A booking of 60 containers is large, so it is held to the new halls:",
                "k1 c=slot-booking,t=melnik-terminal,d=2000,containers=60",
                "UP s-3");
        asExpected &= expectReply(
                "One from berth b7 goes near, to decin:",
                "k2 c=gate-status,t=usti-preprava,d=1000,berth=b7",
                "UP s-[13]");
        asExpected &= expectSplit();
        asExpected &= expectReply(
                "A first line whose containers are no number:",
                "k3 c=slot-booking,t=melnik-terminal,d=2000,containers=many",
                "ERR");
        environment.publish(DemoEnvironment.NEW_HALLS_ENDPOINT, "DRAINING");
        awaitServingEndpoints(2);
        asExpected &= expectReply(
                "The new halls drain, so a large booking spills to the old ones:",
                "k4 c=slot-booking,t=melnik-terminal,d=2000,containers=60",
                "UP s-[12]");
        return asExpected;
    }

    private boolean expectSplit() throws IOException {
        int newHalls = 0;
        for (int i = 0; i < SPLIT_REQUESTS; i++) {
            if (request("board-" + i + " c=slot-board,t=polabi-logistika,d=4000")
                    .equals("UP s-3")) {
                newHalls++;
            }
        }
        System.out.println("Of 40 boards, split 70 to 30 by their keys, " + newHalls + " went to the new halls.");
        return newHalls > SPLIT_LOWER_BOUND && newHalls < SPLIT_UPPER_BOUND;
    }

    /** Waits until the node's endpoint list has this number of serving endpoints. */
    private void awaitServingEndpoints(int count) throws IOException, InterruptedException {
        for (int i = 0; i < TIMEOUT_MS / POLL_INTERVAL_MS; i++) {
            if (environment.node().servingEndpointCount() == count) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
        throw new IOException("timed out waiting for the endpoint list");
    }

    private boolean expectReply(String explanation, String request, String expectedPattern) throws IOException {
        String reply = request(request);
        boolean asExpected = reply.matches(expectedPattern);
        System.out.println(explanation + "\n  OPEN ... " + request + "\n  " + reply
                + (asExpected ? "" : "   (expected " + expectedPattern + ")"));
        return asExpected;
    }

    /** Sends an OPEN line on a new connection and returns the first line of the reply. */
    private String request(String request) throws IOException {
        requests++;
        InetSocketAddress address = environment.address();
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.setSoTimeout(TIMEOUT_MS);
            client.getOutputStream()
                    .write(("OPEN demo" + requests + " " + request + "\r\n").getBytes(StandardCharsets.US_ASCII));
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.US_ASCII));
            return String.valueOf(in.readLine());
        }
    }
}
