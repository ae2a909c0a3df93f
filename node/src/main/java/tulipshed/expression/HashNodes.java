package tulipshed.expression;

import com.dynatrace.hash4j.consistent.ConsistentBucketHasher;
import com.dynatrace.hash4j.consistent.ConsistentHashing;
import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import com.dynatrace.hash4j.random.PseudoRandomGeneratorProvider;

/** Hashes of strings and consistent hashing. */
final class HashNodes {
    private HashNodes() {}

    /** 64-bit XXH3 of the UTF-16 code units of a string: the same in every process and version. */
    static final class Hash extends EvaluationNode {
        private static final Hasher64 HASHER = Hashing.xxh3_64();
        private final EvaluationNode string;

        Hash(EvaluationNode string) {
            this.string = string;
        }

        @Override
        long integerValue(EvaluationFrame frame) {
            CharSequence text = string.stringValue(frame);
            frame.spent += 1 + CostModel.units(text.length());
            return HASHER.hashCharsToLong(text);
        }
    }

    /**
     * JumpBackHash (Ertl, "JumpBackHash: Say Goodbye to the Modulo Operation to Distribute Keys Uniformly to Buckets",
     * 2024): when buckets are added, strings only move to the new ones.
     */
    static final class Bucket extends EvaluationNode {
        private static final ConsistentBucketHasher BUCKET_HASHER =
                ConsistentHashing.jumpBackHash(PseudoRandomGeneratorProvider.splitMix64_V1());
        private final EvaluationNode hash;
        private final int bucketCount;

        Bucket(EvaluationNode string, int bucketCount) {
            this.hash = new Hash(string);
            this.bucketCount = bucketCount;
        }

        @Override
        long integerValue(EvaluationFrame frame) {
            long hashValue = hash.integerValue(frame);
            frame.spent += CostModel.BUCKET_UNITS;
            return BUCKET_HASHER.getBucket(hashValue, bucketCount);
        }
    }
}
