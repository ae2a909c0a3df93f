package tulipshed.expression;

/** Saturating arithmetic on 64-bit integers: a result out of range becomes the nearest value in range. */
final class SaturatingMath {
    private SaturatingMath() {}

    static long add(long left, long right) {
        long sum = left + right;
        boolean overflow = ((left ^ sum) & (right ^ sum)) < 0;
        return overflow ? limitOfSign(left) : sum;
    }

    static long subtract(long left, long right) {
        long difference = left - right;
        boolean overflow = ((left ^ right) & (left ^ difference)) < 0;
        return overflow ? limitOfSign(left) : difference;
    }

    static long multiply(long left, long right) {
        long high = Math.multiplyHigh(left, right);
        long low = left * right;
        return high == low >> 63 ? low : limitOfSign(left ^ right);
    }

    /** Divides, rounding towards zero; the divisor must not be 0. */
    static long divide(long dividend, long divisor) {
        return dividend == Long.MIN_VALUE && divisor == -1 ? Long.MAX_VALUE : dividend / divisor;
    }

    /** Returns the remainder with the sign of the divisor, which must not be 0, as {@link Math#floorMod}. */
    static long modulo(long dividend, long divisor) {
        return Math.floorMod(dividend, divisor);
    }

    private static long limitOfSign(long value) {
        return value < 0 ? Long.MIN_VALUE : Long.MAX_VALUE;
    }
}
