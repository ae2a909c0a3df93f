package tulipshed.operators;

import tulipshed.config.NameIndex;
import tulipshed.sexpr.Diagnostics;

/**
 * The context shared by the readers of the sections of one file.
 *
 * @param names the classes and tenants of the settings
 * @param maxCost the maximum cost of one expression, and of all expressions of a section per request, in units of
 *     {@link tulipshed.expression.CostModel}
 * @param diagnostics the errors of the file
 * @param explanation the description of the content for operators
 */
record ReaderContext(NameIndex names, long maxCost, Diagnostics diagnostics, Explanation explanation) {
    CostCheck newCostCheck() {
        return new CostCheck(maxCost, diagnostics);
    }
}
