/**
 * The interface of the decision module: the events that it receives ({@link tulipshed.decision.api.BalancerApi}), the
 * actions that it takes ({@link tulipshed.decision.api.BalancerActions}), its settings and their value types.
 * Contains only interfaces, enums and records, and depends on nothing but the Java library.
 */
package tulipshed.decision.api;
