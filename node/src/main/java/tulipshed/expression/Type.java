package tulipshed.expression;

import java.util.Locale;

/** The type of an expression's value. Whether the value may be missing is not part of it. */
public enum Type {
    BOOLEAN,
    INTEGER,
    DECIMAL,
    STRING,
    ADDRESS,
    /** The type of an expression in which an error has been reported. */
    UNKNOWN;

    /** Returns the type of that name in the language, or null. */
    public static Type named(String name) {
        for (Type type : values()) {
            if (type != UNKNOWN && type.toString().equals(name)) {
                return type;
            }
        }
        return null;
    }

    boolean isNumeric() {
        return this == INTEGER || this == DECIMAL;
    }

    /** Returns the name with its indefinite article, for diagnostics. */
    String withArticle() {
        return (this == INTEGER || this == ADDRESS ? "an " : "a ") + this;
    }

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}
