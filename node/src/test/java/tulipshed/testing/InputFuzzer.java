package tulipshed.testing;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Random;
import java.util.function.Consumer;

/** Feeds parsers bytes in pieces cut at random places; the seed decides where. */
public final class InputFuzzer {
    private InputFuzzer() {}

    /** Hands the bytes on in pieces of 1 to 40 bytes. */
    public static void feedInFragments(byte[] bytes, long seed, Consumer<ByteBuffer> parser) {
        Random random = new Random(seed);
        for (int from = 0; from < bytes.length; ) {
            int to = Math.min(bytes.length, from + 1 + random.nextInt(40));
            parser.accept(ByteBuffer.wrap(Arrays.copyOfRange(bytes, from, to)));
            from = to;
        }
    }

    /** A valid message with one byte changed, one left out, or its end cut off. */
    public static byte[] corrupt(byte[] message, long seed) {
        Random random = new Random(seed);
        byte[] spoilt = message.clone();
        int at = random.nextInt(message.length);
        spoilt[at] ^= (byte) (1 + random.nextInt(255));
        return random.nextInt(3) == 0 ? Arrays.copyOf(spoilt, at) : spoilt;
    }
}
