package tulipshed.config;

import java.util.List;
import java.util.Map;

/** The required type of a configuration value. Numbers are read as doubles, see {@link JsonValues}. */
enum ValueType {
    STRING("a non-blank string") {
        @Override
        boolean accepts(Object value) {
            return value instanceof String text && !text.isBlank();
        }
    },
    LIST("a list") {
        @Override
        boolean accepts(Object value) {
            return value instanceof List<?>;
        }
    },
    OBJECT("an object") {
        @Override
        boolean accepts(Object value) {
            return value instanceof Map<?, ?>;
        }
    },
    BOOLEAN("true or false") {
        @Override
        boolean accepts(Object value) {
            return value instanceof Boolean;
        }
    },
    NUMBER("a finite number") {
        @Override
        boolean accepts(Object value) {
            return value instanceof Double number && Double.isFinite(number);
        }
    },
    POSITIVE_NUMBER("a finite number above 0") {
        @Override
        boolean accepts(Object value) {
            return value instanceof Double number && Double.isFinite(number) && number > 0;
        }
    },
    POSITIVE_INTEGER("an integer from 1 to " + Integer.MAX_VALUE) {
        @Override
        boolean accepts(Object value) {
            return value instanceof Double number
                    && number >= 1
                    && number <= Integer.MAX_VALUE
                    && number == Math.rint(number);
        }
    };

    private final String description;

    ValueType(String description) {
        this.description = description;
    }

    /** Returns whether a JSON value, which may be null, has this type. */
    abstract boolean accepts(Object value);

    /** Returns a noun phrase for error messages. */
    String description() {
        return description;
    }
}
