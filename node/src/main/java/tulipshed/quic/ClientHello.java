package tulipshed.quic;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.Locale;

/**
 * The parts of a TLS ClientHello (RFC 8446 section 4.1.2) that rules use.
 *
 * @param serverName the name of the server_name extension (RFC 6066 section 3) in lower case; null where there is none
 * @param alpn the client's first application protocol (RFC 7301 section 3.1) that is printable; null where there is none
 */
record ClientHello(String serverName, String alpn) {
    /** The length of the longest server name, in characters (RFC 1035 section 2.3.4). */
    static final int LONGEST_NAME = 255;
    /** The length of the longest protocol name, in characters (RFC 7301 section 3.1). */
    static final int LONGEST_ALPN = 255;

    private static final int CLIENT_HELLO = 1;
    private static final int HEADER_BYTES = 4;
    private static final int SERVER_NAME_EXTENSION = 0;
    private static final int ALPN_EXTENSION = 16;
    private static final int HOST_NAME = 0;
    private static final int VERSION_AND_RANDOM_BYTES = 2 + 32;

    /** Version, random, and the lengths of session ID, cipher suites and compression methods. */
    private static final int MIN_BODY_BYTES = VERSION_AND_RANDOM_BYTES + 1 + 2 + 1;

    /**
     * Reads a ClientHello from the beginning of a stream.
     *
     * @param maxBytes the length of the longest message, with its header
     * @return null while the message is incomplete
     * @throws MalformedPacketException if the stream does not begin with a ClientHello
     */
    static ClientHello read(ByteBuffer in, int maxBytes) {
        if (in.remaining() < 1) {
            return null;
        }
        if (in.get(in.position()) != CLIENT_HELLO) {
            throw new MalformedPacketException(PacketDefect.NOT_A_CLIENT_HELLO);
        }
        if (in.remaining() < HEADER_BYTES) {
            return null;
        }
        int length = in.getInt() & 0xFFFFFF;
        if (length < MIN_BODY_BYTES || length > maxBytes - HEADER_BYTES) {
            throw new MalformedPacketException(PacketDefect.CLIENT_HELLO_LENGTH);
        }
        if (in.remaining() < length) {
            return null;
        }
        try {
            return readBody(in.slice().limit(length));
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            throw new MalformedPacketException(PacketDefect.CLIENT_HELLO_MALFORMED);
        }
    }

    private static ClientHello readBody(ByteBuffer in) {
        in.position(VERSION_AND_RANDOM_BYTES);
        // Session ID, cipher suites and compression methods.
        take(in, in.get() & 0xFF);
        take(in, in.getShort() & 0xFFFF);
        take(in, in.get() & 0xFF);
        String serverName = null;
        String alpn = null;
        ByteBuffer extensions = in.hasRemaining() ? take(in, in.getShort() & 0xFFFF) : in;
        while (extensions.hasRemaining()) {
            int type = extensions.getShort() & 0xFFFF;
            ByteBuffer extension = take(extensions, extensions.getShort() & 0xFFFF);
            if (type == SERVER_NAME_EXTENSION && serverName == null) {
                serverName = readServerName(take(extension, extension.getShort() & 0xFFFF));
            } else if (type == ALPN_EXTENSION && alpn == null) {
                alpn = readAlpn(take(extension, extension.getShort() & 0xFFFF));
            }
        }
        return new ClientHello(serverName, alpn);
    }

    private static String readServerName(ByteBuffer names) {
        while (names.hasRemaining()) {
            int type = names.get();
            String text = readText(take(names, names.getShort() & 0xFFFF));
            if (type == HOST_NAME && text != null && text.length() <= LONGEST_NAME) {
                return text.toLowerCase(Locale.ROOT);
            }
        }
        return null;
    }

    /** The first printable protocol: clients add reserved names of arbitrary bytes to theirs (RFC 8701). */
    private static String readAlpn(ByteBuffer protocols) {
        while (protocols.hasRemaining()) {
            String text = readText(take(protocols, protocols.get() & 0xFF));
            if (text != null) {
                return text;
            }
        }
        return null;
    }

    /** The text of a buffer; null where it is empty or not printable ASCII. */
    private static String readText(ByteBuffer in) {
        StringBuilder out = new StringBuilder();
        while (in.hasRemaining()) {
            byte character = in.get();
            if (character <= ' ' || character > '~') {
                return null;
            }
            out.append((char) character);
        }
        return out.length() == 0 ? null : out.toString();
    }

    /** Takes the next {@code length} bytes of a buffer. */
    private static ByteBuffer take(ByteBuffer in, int length) {
        if (length > in.remaining()) {
            throw new BufferUnderflowException();
        }
        ByteBuffer taken = in.slice().limit(length);
        in.position(in.position() + length);
        return taken;
    }
}
