import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;

/** A discovery that names one slot server and never has news. */
final class ToyDiscovery {
    private ToyDiscovery() { }

    /** Serves on the first loopback port given and names the slot server on the second. */
    public static void main(String[] args) throws IOException {
        int port = Integer.parseInt(args[0]);
        String whole = "{\"version\":1,\"full\":true,\"servers\":[{\"id\":\"s-1\",\"addr\":\"127.0.0.1:" + args[1]
                + "\",\"zone\":\"decin\",\"kind\":\"std-2c\",\"cell\":0,\"state\":\"SERVING\",\"weight\":1.0,"
                + "\"started_ms\":0}]}";
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 50);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext("/discovery/hosts", exchange -> {
            String query = String.valueOf(exchange.getRequestURI().getQuery());
            boolean watch = query.matches("index=1&wait=[0-9]+");
            if (watch) {
                pause(Long.parseLong(query.substring(query.lastIndexOf('=') + 1)));
            }
            byte[] body = (watch ? "{\"version\":1,\"full\":false,\"servers\":[]}" : whole)
                    .getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        server.start();
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
