package tulipshed.proxy;

/** The client's side of a request, implemented by its protocol frontend. Called on the event-loop thread only. */
public interface ClientConnection {
    /**
     * Sends the final response that rejects the request; a retry is harmless.
     *
     * @param retryAfterMs the Retry-After in milliseconds; 0 for none
     */
    void reject(double retryAfterMs);

    /** Sends the final response that the request failed; it may have had an effect. */
    void fail();

    /** Tells the client of an established connection to reconnect, and closes the client and upstream connections. */
    void migrate();
}
