package tulipshed.discovery;

import java.net.InetSocketAddress;

/**
 * Calls to discovery, one at a time. A call ends with exactly one notification of the listener, or with none where {@link
 * #close} abandons it. Confined to the event-loop thread.
 */
interface DiscoveryCalls {
    /** Is notified of the end of each call. */
    interface Listener {
        /** The response to a call is complete. */
        void onResponse(int status, byte[] body);

        /** A call failed; its connection is closed. */
        void onCallFailed(CallFailure failure);

        /**
         * How long the first byte of a response may take beyond the wait that was requested, in milliseconds; read when
         * a request is sent, as it may change while the connection is being opened.
         */
        double responseTimeoutMs();
    }

    /** The server that calls go to. */
    InetSocketAddress address();

    /** Abandons the call in progress, if any; further calls go to the new address. */
    void setAddress(InetSocketAddress newAddress);

    /** Whether it holds a connection, or is opening one. */
    boolean isConnected();

    /** Whether a call has started and not ended. */
    boolean isCallInProgress();

    /** Whether the last call, which may be in progress or not, was one that may wait for changes. */
    boolean isLastRequestLongPoll();

    /** Starts a call; none may be in progress. */
    void call(ListRequest request);

    /** Closes the connection and abandons the call in progress, if any, without notifying the listener. */
    void close();
}
