package tulipshed.limits;

/**
 * Every size, count and time of the node that is not a setting of the site. Filled once at start and handed
 * down; times are in milliseconds, sizes in bytes.
 */
public record Limits(
        /** Longest line, with its end. */
        int lineBytes,
        /** What a relay holds for one direction of one connection. */
        int relayBytes,
        /** What one read takes from a socket at most. */
        int readBytes,
        /** Descriptors that the process may hold. */
        int descriptors,
        /** Descriptors kept for the virtual machine, the listener and discovery. */
        int reservedDescriptors,
        /** Connections waiting in the kernel to be accepted. */
        int backlog,
        /** Longest head of an answer of discovery. */
        int httpHeadBytes,
        /** Longest body of an answer of discovery. */
        int httpBodyBytes,
        /** How long a watch waits at discovery for something new. */
        double watchWaitMs,
        /** How long after that wait silence counts as a failed call. */
        double watchSilenceMs,
        /** Final answers are due this much before the client gives up, so that they arrive in time. */
        double answerMarginMs,
        /** A member that returned nothing for this long after a client's line counts as silent. */
        double silentMs,
        /** How long a connection may linger once one side has ended it. */
        double lingerMs,
        /** A first line must be complete within this time, and it is looked at this often whether it is. */
        double firstLineMs,
        double sweepMs,
        /** Pings that a connection may send before its first line. */
        int pings,
        /** The longest time that a client may say it waits. */
        double longestWaitMs,
        /** Reads of one connection before the others have their turn. */
        int readsAtOnce,
        /** Between two lines of the log on what clients sent that cannot be used. */
        double complaintsMs,
        /** When a client that was turned away for want of descriptors should come again. */
        double noRoomRetryMs,
        /** How long connections that stood before the start may take to come up again. */
        double standingMs,
        /** How often the list is looked at for the member of such a connection. */
        double unknownMemberMs,
        /** How long that member is waited for where discovery has told its list since the start. */
        double unlistedMemberMs,
        /** After SIGTERM: how long new connections are taken. */
        double drainTakeMs,
        /** After SIGTERM: from when on clients are asked to move; until then the others may still be coming back. */
        double drainMoveMs,
        /** After SIGTERM: the longest that a deadline counts, and how long after it all is answered and moved. */
        double drainLongestMs,
        double drainEndMs,
        /** How long the process that takes over waits for discovery's list before it serves with the one it has. */
        double takeOverListMs,
        /** Open ids that a process shows to the other process of its node. */
        int sharedIds,
        /** Connections of the second address at a time; as many again may be accepted until the oldest have given way. */
        int managementConnections,
        /** Longest head of a call there. */
        int managementHeadBytes,
        /** A call there must be whole within this time, and its answer read within this time. */
        double managementCallMs,
        /** Largest datagram taken. */
        int datagramBytes,
        /** Connections of QUIC kept at most. */
        int quicSessions,
        /** Ids learned of one connection of QUIC at most; the oldest learned goes first. */
        int quicIds,
        /** First datagrams of a client kept for a further attempt. */
        int quicFirstDatagrams,
        /** A connection of QUIC on which nothing came for this long is forgotten. */
        double quicIdleMs,
        /** How long a final answer over QUIC is repeated to a client that sends its first packet again. */
        double quicAnsweredMs,
        /** A member counts as silent only after this many datagrams without one in return. */
        int quicUnanswered) {

    /** The limits of a node that may hold this many descriptors. */
    public static Limits forDescriptors(int descriptors) {
        return new Limits(4096, 16 * 1024, 16 * 1024, descriptors, 64, 1024, 8 * 1024, 4 * 1024 * 1024,
                10_000, 2_000, 40, 2_500, 900, 2_000, 250, 16, 120_000, 4, 10_000, 500, 40_000, 100, 1_000,
                500, 1_500, 3_000, 200, 1_500, 4096, 16, 4 * 1024, 2_000,
                2048, 4096, 8, 4, 30_000, 5_000, 3);
    }

    /** How many descriptors connections may take together when a new one is taken. */
    public int connectionDescriptors() {
        return Math.max(2, descriptors - reservedDescriptors - 2 * managementConnections);
    }

    /** How many they may take when a flow is opened: clients taken at the same time must not starve each other. */
    public int flowDescriptors() {
        return Math.max(2, descriptors - reservedDescriptors / 2 - 2 * managementConnections);
    }

    /** Connections without a whole first line at a time; a client that means it sends its line at once. */
    public int unopenedConnections() {
        return Math.max(1, connectionDescriptors() / 4);
    }
}
