package tulipshed.expression;

import java.math.BigInteger;

/** Arithmetic of the {@link ReferenceInterpreter}: on arbitrary integers, clamped to 64 bits, or on decimals. */
final class ReferenceArithmetic {
    private static final BigInteger MIN = BigInteger.valueOf(Long.MIN_VALUE);
    private static final BigInteger MAX = BigInteger.valueOf(Long.MAX_VALUE);

    private ReferenceArithmetic() {}

    static boolean less(Object left, Object right) {
        return anyDecimal(left, right) ? decimal(left) < decimal(right) : (Long) left < (Long) right;
    }

    static boolean atMost(Object left, Object right) {
        return anyDecimal(left, right) ? decimal(left) <= decimal(right) : (Long) left <= (Long) right;
    }

    /** Applies a binary operation to the operands from left to right. */
    static Object fold(String name, Object[] operands) {
        Object result = operands[0];
        for (int i = 1; i < operands.length; i++) {
            result = anyDecimal(result, operands[i])
                    ? (Object) ofDecimals(name, decimal(result), decimal(operands[i]))
                    : (Object) ofIntegers(name, integer(result), integer(operands[i]));
        }
        return result;
    }

    static Object divide(Object[] operands) {
        if (anyDecimal(operands[0], operands[1])) {
            double divisor = decimal(operands[1]);
            return divisor != 0 ? decimal(operands[0]) / divisor : decimal(operands[2]);
        }
        return (Long) operands[1] != 0 ? clamp(integer(operands[0]).divide(integer(operands[1]))) : operands[2];
    }

    static Object modulo(Object[] operands) {
        if ((Long) operands[1] == 0) {
            return operands[2];
        }
        BigInteger divisor = integer(operands[1]);
        BigInteger remainder = integer(operands[0]).mod(divisor.abs());
        return clamp(divisor.signum() < 0 && remainder.signum() != 0 ? remainder.add(divisor) : remainder);
    }

    private static boolean anyDecimal(Object left, Object right) {
        return left instanceof Double || right instanceof Double;
    }

    private static double ofDecimals(String name, double left, double right) {
        return switch (name) {
            case "+" -> left + right;
            case "-" -> left - right;
            case "*" -> left * right;
            case "min" -> Math.min(left, right);
            default -> Math.max(left, right);
        };
    }

    private static long ofIntegers(String name, BigInteger left, BigInteger right) {
        return switch (name) {
            case "+" -> clamp(left.add(right));
            case "-" -> clamp(left.subtract(right));
            case "*" -> clamp(left.multiply(right));
            case "min" -> clamp(left.min(right));
            default -> clamp(left.max(right));
        };
    }

    private static double decimal(Object value) {
        return ((Number) value).doubleValue();
    }

    private static BigInteger integer(Object value) {
        return BigInteger.valueOf((Long) value);
    }

    private static long clamp(BigInteger value) {
        return value.max(MIN).min(MAX).longValue();
    }
}
