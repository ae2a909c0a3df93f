package tulipshed.expression;

/** String operations. Their results are written to buffers of the frame, so that nothing is allocated. */
final class StringNodes {
    private StringNodes() {}

    /** Whether one string starts or ends with another. */
    static final class StartsOrEndsWith extends EvaluationNode {
        private final boolean start;
        private final EvaluationNode string;
        private final EvaluationNode part;

        StartsOrEndsWith(boolean start, EvaluationNode string, EvaluationNode part) {
            this.start = start;
            this.string = string;
            this.part = part;
        }

        @Override
        boolean booleanValue(EvaluationFrame frame) {
            frame.spent++;
            CharSequence text = string.stringValue(frame);
            CharSequence sought = part.stringValue(frame);
            frame.spent += CostModel.units(Math.min(text.length(), sought.length()));
            return CharSequences.regionMatches(text, start ? 0 : text.length() - sought.length(), sought);
        }
    }

    /** Whether one string contains another. */
    static final class Contains extends EvaluationNode {
        private final EvaluationNode string;
        private final EvaluationNode part;

        Contains(EvaluationNode string, EvaluationNode part) {
            this.string = string;
            this.part = part;
        }

        @Override
        boolean booleanValue(EvaluationFrame frame) {
            frame.spent++;
            CharSequence text = string.stringValue(frame);
            CharSequence sought = part.stringValue(frame);
            int lastOffset = text.length() - sought.length();
            if (lastOffset >= 0) {
                frame.spent += CostModel.units((long) text.length() * sought.length());
            }
            for (int offset = 0; offset <= lastOffset; offset++) {
                if (CharSequences.regionMatches(text, offset, sought)) {
                    return true;
                }
            }
            return false;
        }
    }

    /** The length in UTF-16 code units. */
    static final class Length extends EvaluationNode {
        private final EvaluationNode string;

        Length(EvaluationNode string) {
            this.string = string;
        }

        @Override
        long integerValue(EvaluationFrame frame) {
            frame.spent++;
            return string.stringValue(frame).length();
        }
    }

    /** Concatenation. */
    static final class Concat extends EvaluationNode {
        private final EvaluationNode[] strings;
        private final int buffer;

        Concat(EvaluationNode[] strings, int buffer) {
            this.strings = strings;
            this.buffer = buffer;
        }

        @Override
        CharSequence stringValue(EvaluationFrame frame) {
            ReusableStringBuffer result = frame.buffers[buffer].clear();
            for (EvaluationNode string : strings) {
                CharSequence text = string.stringValue(frame);
                result.append(text, 0, text.length());
            }
            frame.spent += 1 + CostModel.units(result.length());
            return result;
        }
    }

    /** The part between two offsets, both clamped to the string. */
    static final class Substring extends EvaluationNode {
        private final EvaluationNode string;
        private final EvaluationNode from;
        private final EvaluationNode to;
        private final int buffer;

        Substring(EvaluationNode string, EvaluationNode from, EvaluationNode to, int buffer) {
            this.string = string;
            this.from = from;
            this.to = to;
            this.buffer = buffer;
        }

        @Override
        CharSequence stringValue(EvaluationFrame frame) {
            CharSequence text = string.stringValue(frame);
            int start = (int) Math.max(0, Math.min(text.length(), from.integerValue(frame)));
            int end = (int) Math.max(start, Math.min(text.length(), to.integerValue(frame)));
            frame.spent += 1 + CostModel.units(end - start);
            ReusableStringBuffer result = frame.buffers[buffer].clear();
            result.append(text, start, end);
            return result;
        }
    }

    /** The string with the letters A to Z in lower case. */
    static final class LowerCase extends EvaluationNode {
        private final EvaluationNode string;
        private final int buffer;

        LowerCase(EvaluationNode string, int buffer) {
            this.string = string;
            this.buffer = buffer;
        }

        @Override
        CharSequence stringValue(EvaluationFrame frame) {
            CharSequence text = string.stringValue(frame);
            frame.spent += 1 + CostModel.units(text.length());
            ReusableStringBuffer result = frame.buffers[buffer].clear();
            for (int i = 0; i < text.length(); i++) {
                char character = text.charAt(i);
                boolean upperCase = character >= 'A' && character <= 'Z';
                result.append(upperCase ? (char) (character + ('a' - 'A')) : character);
            }
            return result;
        }
    }
}
