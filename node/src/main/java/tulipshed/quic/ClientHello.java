package tulipshed.quic;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.Locale;

/**
 * What a client says in the clear at first (RFC 8446 section 4.1.2): the name of the server that it wants (RFC 6066 section
 * 3) and the protocol that it would like best (RFC 7301 section 3.1), each null where it does not say.
 */
record ClientHello(String serverName, String alpn) {
    /** Longest server name, in characters (RFC 1035 section 2.3.4). */
    static final int LONGEST_NAME = 255;
    /** Longest name of a protocol, in characters (RFC 7301 section 3.1). */
    static final int LONGEST_ALPN = 255;

    private static final int TYPE = 1;
    private static final int HEAD = 4;
    private static final int SERVER_NAME = 0;
    private static final int ALPN = 16;
    private static final int LEAST_BODY = 2 + 32 + 1 + 2 + 1;

    /** Reads it from the beginning of a stream: null while it is not whole, a {@link MalformedPacketException} where it is none. */
    static ClientHello read(ByteBuffer in, int most) {
        if (in.remaining() < 1) {
            return null;
        }
        if (in.get(in.position()) != TYPE) {
            throw new MalformedPacketException("a handshake that does not begin with a client hello");
        }
        if (in.remaining() < HEAD) {
            return null;
        }
        int length = in.getInt() & 0xFFFFFF;
        if (length < LEAST_BODY || length > most - HEAD) {
            throw new MalformedPacketException("a hello of " + length + " bytes");
        }
        if (in.remaining() < length) {
            return null;
        }
        try {
            return body(in.slice().limit(length));
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            throw new MalformedPacketException("a hello whose parts do not fit into it");
        }
    }

    private static ClientHello body(ByteBuffer in) {
        in.position(2 + 32);
        part(in, in.get() & 0xFF);
        part(in, in.getShort() & 0xFFFF);
        part(in, in.get() & 0xFF);
        String name = null;
        String alpn = null;
        ByteBuffer extensions = in.hasRemaining() ? part(in, in.getShort() & 0xFFFF) : in;
        while (extensions.hasRemaining()) {
            int type = extensions.getShort() & 0xFFFF;
            ByteBuffer e = part(extensions, extensions.getShort() & 0xFFFF);
            if (type == SERVER_NAME && name == null) {
                name = serverName(part(e, e.getShort() & 0xFFFF));
            } else if (type == ALPN && alpn == null) {
                alpn = alpn(part(e, e.getShort() & 0xFFFF));
            }
        }
        return new ClientHello(name, alpn);
    }

    private static String serverName(ByteBuffer names) {
        while (names.hasRemaining()) {
            int type = names.get();
            String text = text(part(names, names.getShort() & 0xFFFF));
            if (type == 0 && text != null && text.length() <= LONGEST_NAME) {
                return text.toLowerCase(Locale.ROOT);
            }
        }
        return null;
    }

    /** The first that can be written: clients put names of random bytes among theirs (RFC 8701). */
    private static String alpn(ByteBuffer protocols) {
        while (protocols.hasRemaining()) {
            String text = text(part(protocols, protocols.get() & 0xFF));
            if (text != null) {
                return text;
            }
        }
        return null;
    }

    /** Printable ASCII, or null. */
    private static String text(ByteBuffer in) {
        StringBuilder out = new StringBuilder();
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b <= ' ' || b > '~') {
                return null;
            }
            out.append((char) b);
        }
        return out.length() == 0 ? null : out.toString();
    }

    private static ByteBuffer part(ByteBuffer in, int length) {
        if (length > in.remaining()) {
            throw new BufferUnderflowException();
        }
        ByteBuffer part = in.slice().limit(length);
        in.position(in.position() + length);
        return part;
    }
}
