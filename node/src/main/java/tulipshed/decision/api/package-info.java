/**
 * The interface of the decision module: the events that it is notified of ({@link tulipshed.decision.api.BalancerApi}), the
 * actions that it takes ({@link tulipshed.decision.api.BalancerActions}), its settings and the values that all of these carry.
 * Holds only interfaces, enums and records, and depends on nothing but the Java library.
 */
package tulipshed.decision.api;
