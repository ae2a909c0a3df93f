package tulipshed.discovery;

import java.net.InetSocketAddress;

/**
 * Calls to discovery, one at a time. Each call ends with exactly one notification of the listener, or with none if
 * {@link #close} or {@link #setAddress} abandons it. Confined to the event-loop thread.
 */
interface DiscoveryCalls {
    /** Receives the result of each call. */
    interface Listener {
        /** Called when the response to a call is complete. */
        void onResponse(int status, byte[] body);

        /** Called when a call failed and its connection was closed. */
        void onCallFailed(CallFailure failure);

        /**
         * Longest time that the first byte of a response may take beyond the requested wait, in milliseconds. Read when
         * a request is sent, as it may change while the connection is being opened.
         */
        double responseTimeoutMs();
    }

    /** Address of the server. */
    InetSocketAddress address();

    /** Abandons the call in progress, if any, and sends further calls to the new address. */
    void setAddress(InetSocketAddress newAddress);

    /** Whether a connection is open or being opened. */
    boolean hasConnection();

    /** Whether a call has started and not ended. */
    boolean isCallInProgress();

    /** Whether the last call, in progress or ended, was a long poll. */
    boolean isLastRequestLongPoll();

    /** Starts a call; none may be in progress. */
    void call(ListRequest request);

    /** Closes the connection and abandons the call in progress, if any, without notifying the listener. */
    void close();
}
