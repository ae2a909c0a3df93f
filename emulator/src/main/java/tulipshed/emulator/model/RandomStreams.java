package tulipshed.emulator.model;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** A source of chance of its own for every part of the world, all from one seed, whichever threads run them. */
public final class RandomStreams {
    private RandomStreams() {}

    static long of(long seed, int part, int use) {
        long x = seed + 0x9E3779B97F4A7C15L * (part + 1L) + 0xD1B54A32D192ED03L * (use + 1L);
        x = (x ^ x >>> 30) * 0xBF58476D1CE4E5B9L;
        x = (x ^ x >>> 27) * 0x94D049BB133111EBL;
        return x ^ x >>> 31;
    }

    /** Chances of their own for a part and a use of it. */
    public static UniformRandomProvider random(long seed, int part, int use) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {of(seed, part, use), of(seed, part, use + 1000)});
    }

    /** Around 1, which is its mean; sigma is that of the logarithm. */
    static double lognormal(UniformRandomProvider random, double sigma) {
        if (sigma == 0) {
            return 1;
        }
        // Box and Muller; a pair of draws each, whatever the platform.
        double z = Math.sqrt(-2 * Math.log1p(-random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
        return Math.exp(sigma * z - sigma * sigma / 2);
    }

    /** With that mean; by inversion, one draw each, so that a doubled mean doubles every draw. */
    static double exponential(UniformRandomProvider random, double mean) {
        return -mean * Math.log1p(-random.nextDouble());
    }
}
