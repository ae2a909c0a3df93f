package tulipshed.testing;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Random;
import java.util.function.Consumer;

/** Fragmented and corrupted input for parsers, determined by a random seed. */
public final class InputFuzzer {
    private static final int MAX_FRAGMENT_BYTES = 40;

    private InputFuzzer() {}

    /** Passes the bytes to a parser in fragments of 1 to 40 bytes. */
    public static void feedInFragments(byte[] bytes, long seed, Consumer<ByteBuffer> parser) {
        Random random = new Random(seed);
        for (int from = 0; from < bytes.length; ) {
            int to = Math.min(bytes.length, from + 1 + random.nextInt(MAX_FRAGMENT_BYTES));
            parser.accept(ByteBuffer.wrap(Arrays.copyOfRange(bytes, from, to)));
            from = to;
        }
    }

    /** Returns a copy of a message with one byte changed or, for every third seed or so, cut off at a random byte. */
    public static byte[] corrupt(byte[] message, long seed) {
        Random random = new Random(seed);
        byte[] corrupted = message.clone();
        int index = random.nextInt(message.length);
        corrupted[index] ^= (byte) (1 + random.nextInt(255));
        return random.nextInt(3) == 0 ? Arrays.copyOf(corrupted, index) : corrupted;
    }
}
