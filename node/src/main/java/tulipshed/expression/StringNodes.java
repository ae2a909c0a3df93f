package tulipshed.expression;

import com.dynatrace.hash4j.consistent.ConsistentBucketHasher;
import com.dynatrace.hash4j.consistent.ConsistentHashing;
import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import com.dynatrace.hash4j.random.PseudoRandomGeneratorProvider;
import com.google.re2j.Matcher;

/** What is done with strings. Those made anew lie in a buffer of the frame, so nothing is allocated. */
final class StringNodes {
    private StringNodes() {}

    /** Whether one string begins with, ends with or contains the other. */
    static final class Part extends EvaluationNode {
        private final Operator op;
        private final EvaluationNode a;
        private final EvaluationNode b;

        Part(Operator op, EvaluationNode a, EvaluationNode b) {
            this.op = op;
            this.a = a;
            this.b = b;
        }

        @Override
        boolean booleanValue(EvaluationFrame frame) {
            frame.spent++;
            CharSequence whole = a.stringValue(frame);
            CharSequence part = b.stringValue(frame);
            int last = whole.length() - part.length();
            if (op != Operator.CONTAINS) {
                frame.spent += CostModel.units(Math.min(whole.length(), part.length()));
                return CharSequences.at(whole, part, op == Operator.PREFIX ? 0 : last);
            }
            if (last >= 0) {
                frame.spent += CostModel.units((long) whole.length() * part.length());
            }
            for (int i = 0; i <= last; i++) {
                if (CharSequences.at(whole, part, i)) {
                    return true;
                }
            }
            return false;
        }
    }

    static final class Length extends EvaluationNode {
        private final EvaluationNode a;

        Length(EvaluationNode a) {
            this.a = a;
        }

        @Override
        long integerValue(EvaluationFrame frame) {
            frame.spent++;
            return a.stringValue(frame).length();
        }
    }

    static final class Concat extends EvaluationNode {
        private final EvaluationNode[] parts;
        private final int buffer;

        Concat(EvaluationNode[] parts, int buffer) {
            this.parts = parts;
            this.buffer = buffer;
        }

        @Override
        CharSequence stringValue(EvaluationFrame frame) {
            ReusableStringBuffer out = frame.buffers[buffer].clear();
            for (EvaluationNode n : parts) {
                CharSequence s = n.stringValue(frame);
                out.append(s, 0, s.length());
            }
            frame.spent += 1 + CostModel.units(out.length());
            return out;
        }
    }

    static final class Substring extends EvaluationNode {
        private final EvaluationNode a;
        private final EvaluationNode from;
        private final EvaluationNode to;
        private final int buffer;

        Substring(EvaluationNode a, EvaluationNode from, EvaluationNode to, int buffer) {
            this.a = a;
            this.from = from;
            this.to = to;
            this.buffer = buffer;
        }

        @Override
        CharSequence stringValue(EvaluationFrame frame) {
            CharSequence s = a.stringValue(frame);
            int start = (int) Math.max(0, Math.min(s.length(), from.integerValue(frame)));
            int end = (int) Math.max(start, Math.min(s.length(), to.integerValue(frame)));
            frame.spent += 1 + CostModel.units(end - start);
            ReusableStringBuffer out = frame.buffers[buffer].clear();
            out.append(s, start, end);
            return out;
        }
    }

    static final class Lower extends EvaluationNode {
        private final EvaluationNode a;
        private final int buffer;

        Lower(EvaluationNode a, int buffer) {
            this.a = a;
            this.buffer = buffer;
        }

        @Override
        CharSequence stringValue(EvaluationFrame frame) {
            CharSequence s = a.stringValue(frame);
            frame.spent += 1 + CostModel.units(s.length());
            ReusableStringBuffer out = frame.buffers[buffer].clear();
            for (int i = 0; i < s.length(); i++) {
                char c = s.charAt(i);
                out.append(c >= 'A' && c <= 'Z' ? (char) (c + ('a' - 'A')) : c);
            }
            return out;
        }
    }

    static final class Figures extends EvaluationNode {
        private final EvaluationNode a;
        private final int buffer;

        Figures(EvaluationNode a, int buffer) {
            this.a = a;
            this.buffer = buffer;
        }

        @Override
        CharSequence stringValue(EvaluationFrame frame) {
            ReusableStringBuffer out = frame.buffers[buffer].clear();
            out.append(a.integerValue(frame));
            frame.spent += 1 + CostModel.units(out.length());
            return out;
        }
    }

    static final class Matches extends EvaluationNode {
        private final EvaluationNode a;
        private final Matching matching;
        private final int matcher;

        Matches(EvaluationNode a, Matching matching, int matcher) {
            this.a = a;
            this.matching = matching;
            this.matcher = matcher;
        }

        @Override
        boolean booleanValue(EvaluationFrame frame) {
            CharSequence s = a.stringValue(frame);
            frame.spent += 1 + CostModel.units((long) (s.length() + 1) * matching.size());
            Matcher m = frame.matchers[matcher];
            return m.reset(s).find();
        }
    }

    /** XXH3 with 64 bits over the UTF-16 units of a string: the same in every process and version. */
    static final class Hash extends EvaluationNode {
        private static final Hasher64 HASHER = Hashing.xxh3_64();
        private final EvaluationNode a;

        Hash(EvaluationNode a) {
            this.a = a;
        }

        @Override
        long integerValue(EvaluationFrame frame) {
            CharSequence s = a.stringValue(frame);
            frame.spent += 1 + CostModel.units(s.length());
            return HASHER.hashCharsToLong(s);
        }
    }

    /** Jump-back hashing (Ertl 2024): when shares are added, strings only move to the new ones. */
    static final class Bucket extends EvaluationNode {
        private static final ConsistentBucketHasher SHARES =
                ConsistentHashing.jumpBackHash(PseudoRandomGeneratorProvider.splitMix64_V1());
        private final EvaluationNode hash;
        private final int shares;

        Bucket(EvaluationNode text, int shares) {
            this.hash = new Hash(text);
            this.shares = shares;
        }

        @Override
        long integerValue(EvaluationFrame frame) {
            long h = hash.integerValue(frame);
            frame.spent += CostModel.BUCKET;
            return SHARES.getBucket(h, shares);
        }
    }
}
