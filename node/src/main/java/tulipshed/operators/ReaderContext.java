package tulipshed.operators;

import tulipshed.config.NameIndex;
import tulipshed.sexpr.Diagnostics;

/**
 * What the readers of the sections of one file share.
 *
 * @param names the classes and tenants of the settings
 * @param maxCost what an expression may cost at most, in units of {@link tulipshed.expression.CostModel}
 * @param diagnostics the errors of the file
 * @param explanation what was read, for operators
 */
record ReaderContext(NameIndex names, long maxCost, Diagnostics diagnostics, Explanation explanation) {
    CostCheck newCostCheck() {
        return new CostCheck(maxCost, diagnostics);
    }
}
