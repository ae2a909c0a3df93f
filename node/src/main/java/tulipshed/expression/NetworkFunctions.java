package tulipshed.expression;

import java.util.ArrayList;
import java.util.List;
import tulipshed.sexpr.Form;

/** Functions of network addresses. */
final class NetworkFunctions {
    private static final Operator IN_NETWORK = new Operator(
            "in-network",
            expression -> ((NetworkSet) expression.constant).networks().size(),
            (expression, operands, layout) ->
                    new MembershipNodes.InNetworks(operands[0], (NetworkSet) expression.constant));

    static final List<BuiltinFunction> ENTRIES =
            List.of(BuiltinFunction.of("(in-network ADDRESS [\"NETWORK\" ...])", NetworkFunctions::inNetwork));

    private NetworkFunctions() {}

    private static Expression inNetwork(FunctionCall call) {
        if (call.size() != 2) {
            return call.syntaxError();
        }
        Expression address = call.typed(0, Type.ADDRESS);
        Form second = call.argument(1);
        boolean isList = second instanceof Form.Sequence sequence && sequence.square();
        List<Form> items = isList ? ((Form.Sequence) second).items() : List.of(second);
        List<Network> networks = new ArrayList<>();
        boolean valid = !address.isUnknown();
        for (Form item : items) {
            Network network = item instanceof Form.StringLiteral text ? Network.parse(text.value()) : null;
            if (network == null) {
                call.error(
                        item.place(),
                        "expected a network such as \"10.0.0.0/8\" or \"fd00::/8\", found " + item.describe());
                valid = false;
            }
            networks.add(network);
        }
        return valid
                ? call.makeWithConstant(IN_NETWORK, Type.BOOLEAN, new NetworkSet(networks), address)
                : call.unknown();
    }
}
