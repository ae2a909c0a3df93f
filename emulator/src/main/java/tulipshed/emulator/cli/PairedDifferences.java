package tulipshed.emulator.cli;

import java.util.Arrays;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Differences over pairs of runs that had the same chance, and what they show. */
record PairedDifferences(int count, double meanA, double meanB, double difference, double low, double high) {
    private static final int RESAMPLES = 10_000;
    private static final double OUTSIDE = 0.025; // on each side of the interval

    /** Of two figures each, in pairs; the interval is the percentile bootstrap's, 95 in 100. */
    static PairedDifferences of(double[] a, double[] b) {
        int n = a.length;
        double[] difference = new double[n];
        for (int i = 0; i < n; i++) {
            difference[i] = b[i] - a[i];
        }
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {1, 2});
        double[] means = new double[RESAMPLES];
        for (int r = 0; r < RESAMPLES; r++) {
            double sum = 0;
            for (int i = 0; i < n; i++) {
                sum += difference[random.nextInt(n)];
            }
            means[r] = sum / n;
        }
        Arrays.sort(means);
        return new PairedDifferences(
                n,
                mean(a),
                mean(b),
                mean(difference),
                means[(int) (RESAMPLES * OUTSIDE)],
                means[(int) (RESAMPLES * (1 - OUTSIDE)) - 1]);
    }

    static double mean(double[] of) {
        return Arrays.stream(of).average().orElse(Double.NaN);
    }

    /** In plain words, where more is better or less is. */
    String verdict(String figure, String a, String b, boolean moreIsBetter) {
        String numbers = String.format(
                Locale.ROOT,
                "%s: %.4f with %s, %.4f with %s; difference %+.4f (%+.4f to %+.4f) over %d pairs",
                figure,
                meanA,
                a,
                meanB,
                b,
                difference,
                low,
                high,
                count);
        if (count < 5) {
            return numbers + ": too few pairs to tell";
        } else if (low <= 0 && high >= 0) {
            return numbers + ": no difference shown";
        }
        return numbers + ": " + ((difference > 0) == moreIsBetter ? b : a) + " is better";
    }
}
