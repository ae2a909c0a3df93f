/**
 * The seam of the decision module: the events that it is told ({@link tulipshed.decision.api.BalancerApi}), the actions
 * that it takes ({@link tulipshed.decision.api.BalancerActions}), its settings and the values that all of these carry.
 * Holds interfaces, enums and records alone and depends on nothing but the Java library.
 */
package tulipshed.decision.api;
