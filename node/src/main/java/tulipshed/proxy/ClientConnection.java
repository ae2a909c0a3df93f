package tulipshed.proxy;

/** The client's side of a request, implemented by its protocol frontend. Called on the event-loop thread only. */
public interface ClientConnection {
    /**
     * Final response: rejected; a retry is harmless.
     *
     * @param retryAfterMs when to retry, in milliseconds from now; 0 where nothing is said of that
     */
    void reject(double retryAfterMs);

    /** Final response: failed; the request may have had an effect. */
    void fail();

    /** Asks the client of an established connection to reconnect, and closes the connection on both sides. */
    void migrate();
}
