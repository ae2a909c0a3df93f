package standin;

/** Daemon threads whose failures end only themselves. */
public final class Threads {
    public interface Task {
        void run() throws Exception;
    }

    private Threads() {}

    public static Thread start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The connection or the listener was closed.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    public static void sleepMs(double ms) throws InterruptedException {
        if (ms > 0) {
            Thread.sleep((long) ms, (int) ((ms - Math.floor(ms)) * 1e6));
        }
    }
}
