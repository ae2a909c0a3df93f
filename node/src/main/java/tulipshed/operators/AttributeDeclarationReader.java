package tulipshed.operators;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.expression.BuiltinFunctions;
import tulipshed.expression.CostModel;
import tulipshed.expression.Type;
import tulipshed.routing.AttributeDeclaration;
import tulipshed.routing.AttributeDeclarations;
import tulipshed.routing.RequestSchema;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.NameSuggestions;

/** Reads {@code (attributes (NAME TYPE) (NAME string LONGEST) ...)} and {@code (longest (key N) (group N))}. */
final class AttributeDeclarationReader {
    /** The maximum length of a line of the line protocol, in characters. */
    static final int MAX_LINE_LENGTH = 4096;

    private static final int MAX_ATTRIBUTES = 64;

    /** The maximum length, in characters, of a string attribute declared without a length. */
    private static final int DEFAULT_STRING_LENGTH = 64;

    /** The fields of the line protocol's open command. */
    private static final Set<String> OPEN_COMMAND_FIELDS = Set.of("c", "t", "d", "g", "h", "r", "again", "at");

    private static final Set<String> TYPES = SectionNames.ordered(
            Type.BOOLEAN.toString(), Type.INTEGER.toString(), Type.DECIMAL.toString(), Type.STRING.toString());
    private static final Set<String> LENGTH_FIELDS = SectionNames.ordered(FieldNames.KEY, FieldNames.GROUP);

    private final Diagnostics diagnostics;
    private final Map<String, AttributeDeclaration> declared = new LinkedHashMap<>();

    private AttributeDeclarationReader(Diagnostics diagnostics) {
        this.diagnostics = diagnostics;
    }

    /** Returns the declared attributes and lengths; {@link AttributeDeclarations#NONE} if the file declares none. */
    static AttributeDeclarations read(Sections sections, Diagnostics diagnostics) {
        AttributeDeclarationReader reader = new AttributeDeclarationReader(diagnostics);
        if (sections.hasSingle(SectionNames.ATTRIBUTES)) {
            reader.readAttributes(sections.getSingle(SectionNames.ATTRIBUTES));
        }
        if (sections.hasSingle(SectionNames.LONGEST)) {
            return reader.readLengths(sections.getSingle(SectionNames.LONGEST));
        }
        return reader.declared.isEmpty()
                ? AttributeDeclarations.NONE
                : new AttributeDeclarations(reader.declared, Integer.MAX_VALUE, Integer.MAX_VALUE);
    }

    private void readAttributes(Form.Sequence section) {
        List<Form> items = section.items();
        items.subList(1, items.size()).forEach(this::readAttribute);
        if (declared.size() > MAX_ATTRIBUTES) {
            diagnostics.add(section.place(), "more than " + MAX_ATTRIBUTES + " attributes");
        }
    }

    private AttributeDeclarations readLengths(Form.Sequence section) {
        SectionFields fields = new SectionFields(section, 1, LENGTH_FIELDS, diagnostics);
        int maxKeyLength = readLength(fields, FieldNames.KEY);
        int maxGroupLength = readLength(fields, FieldNames.GROUP);
        return new AttributeDeclarations(declared, maxKeyLength, maxGroupLength);
    }

    private static int readLength(SectionFields fields, String name) {
        return fields.has(name) ? (int) fields.integer(name, 1, MAX_LINE_LENGTH, 1) : Integer.MAX_VALUE;
    }

    private void readAttribute(Form form) {
        if (!(form instanceof Form.Sequence declaration)
                || declaration.head() == null
                || declaration.items().size() < 2
                || declaration.items().size() > 3
                || !(declaration.items().get(1) instanceof Form.Symbol typeName)) {
            diagnostics.add(form.place(), "expected (NAME TYPE) or (NAME string LONGEST), found " + form.describe());
            return;
        }
        if (!TYPES.contains(typeName.name())) {
            diagnostics.add(
                    typeName.place(),
                    "expected one of " + String.join(", ", TYPES) + ", found " + typeName.name()
                            + NameSuggestions.hint(typeName.name(), TYPES));
            return;
        }
        Type type = Type.named(typeName.name());
        int maxLength = type == Type.STRING ? DEFAULT_STRING_LENGTH : 0;
        if (declaration.items().size() == 3) {
            Form length = declaration.items().get(2);
            if (!isStringLength(type, length)) {
                diagnostics.add(
                        length.place(),
                        "expected the maximum length of a string, from 1 to " + CostModel.MAX_STRING_LENGTH
                                + " characters, found " + length.describe());
                return;
            }
            maxLength = (int) ((Form.IntegerLiteral) length).value();
        }
        declare(declaration, new AttributeDeclaration(type, maxLength));
    }

    private static boolean isStringLength(Type type, Form form) {
        return type == Type.STRING
                && form instanceof Form.IntegerLiteral length
                && length.value() >= 1
                && length.value() <= CostModel.MAX_STRING_LENGTH;
    }

    private void declare(Form.Sequence form, AttributeDeclaration declaration) {
        String name = form.head();
        if (isReserved(name)) {
            diagnostics.add(form.place(), name + " has a meaning already");
        } else if (declared.putIfAbsent(name, declaration) != null) {
            diagnostics.add(form.place(), name + " is given twice");
        }
    }

    private static boolean isReserved(String name) {
        return OPEN_COMMAND_FIELDS.contains(name)
                || BuiltinFunctions.contains(name)
                || RequestSchema.names(AttributeDeclarations.NONE).contains(name);
    }
}
