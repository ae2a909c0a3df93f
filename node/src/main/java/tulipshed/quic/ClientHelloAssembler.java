package tulipshed.quic;

import java.util.List;
import tulipshed.connectionid.ConnectionId;

/** What a client has sent before its hello is whole. Without I/O. */
final class ClientHelloAssembler {
    private final ConnectionId keyedBy;
    private final int most;
    private final CryptoStream stream;
    private ClientHello hello;
    private Version version;
    private boolean closes;

    /** The first id that the client chose is what its keys follow from; its hello may have that many bytes. */
    ClientHelloAssembler(ConnectionId keyedBy, int most) {
        this.keyedBy = keyedBy;
        this.most = most;
        stream = new CryptoStream(most);
    }

    /**
     * Takes the Initial packets of a datagram; others are passed over, and so is an Initial of other keys behind a sound
     * one. Whether any was sound; a {@link MalformedPacketException} where the hello is none or what was said cannot be.
     */
    boolean take(List<Packet> packets) {
        boolean sound = false;
        for (Packet p : packets) {
            if (p.type() == Packet.Type.INITIAL) {
                Version of = Version.of(p.version());
                byte[] frames;
                try {
                    frames = InitialKeys.client(of, keyedBy).open(p);
                } catch (MalformedPacketException e) {
                    continue;
                }
                version = of;
                InitialFrames read = InitialFrames.read(frames, stream);
                sound = true;
                closes |= read.closes();
            }
        }
        if (sound && hello == null) {
            hello = ClientHello.read(stream.whole(), most);
        }
        return sound;
    }

    /** The hello once it is whole, or null. */
    ClientHello hello() {
        return hello;
    }

    /** The version that the client speaks; null before anything of it could be read. */
    Version version() {
        return version;
    }

    /** Whether the client takes its wish back. */
    boolean closes() {
        return closes;
    }
}
