package tulipshed;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.time.Duration;
import java.util.Calendar;
import java.util.Date;
import org.junit.jupiter.api.Test;

class PackagesTest {
    private final JavaClasses classes = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("tulipshed");

    @Test
    void noneImportsInACircle() {
        slices().matching("tulipshed.(*)..").should().beFreeOfCycles().check(classes);
    }

    @Test
    void theCoreKnowsNoWire() {
        noClasses()
                .that()
                .resideInAnyPackage("tulipshed.proxy..", "tulipshed.decision..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.xnio..",
                        "java.nio..",
                        "java.io..",
                        "com.fasterxml..",
                        "tulipshed.lineprotocol..",
                        "tulipshed.quic..",
                        "tulipshed.transport..",
                        "tulipshed.discovery..")
                .check(classes);
    }

    /** Addresses are bytes there: nothing is looked up or opened. */
    @Test
    void rulesDoNoInputOrOutput() {
        noClasses()
                .that()
                .resideInAnyPackage("tulipshed.routing..", "tulipshed.expression..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.xnio..",
                        "java.nio..",
                        "java.io..",
                        "tulipshed.proxy..",
                        "tulipshed.operators..",
                        "tulipshed.config..")
                .check(classes);
    }

    @Test
    void theModuleKnowsNothingElse() {
        noClasses()
                .that()
                .resideInAPackage("tulipshed.decision..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("tulipshed.proxy..", "tulipshed.limits..", "tulipshed.time..", "tulipshed.config..")
                .check(classes);
    }

    /** No wall clock but that one, which is a type of its own, so that none is taken for the monotonic clock. */
    @Test
    void theWallClockIsReadInOnePlace() {
        noClasses()
                .that()
                .doNotHaveFullyQualifiedName("tulipshed.time.SystemWallClock")
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat(DescribedPredicate.describe(
                        "tell the time of day",
                        c -> (c.getPackageName().startsWith("java.time") && !c.isEquivalentTo(Duration.class))
                                || c.isEquivalentTo(Date.class)
                                || c.isAssignableTo(Calendar.class)))
                .check(classes);
    }

    /** What decides, keeps deadlines or measures spans must not see a clock that may step. */
    @Test
    void noDecisionRestsOnAWallClock() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "tulipshed.decision..",
                        "tulipshed.proxy..",
                        "tulipshed.routing..",
                        "tulipshed.transport..",
                        "tulipshed.lineprotocol..",
                        "tulipshed.peer..")
                .should()
                .dependOnClassesThat()
                .haveNameMatching("tulipshed\\.time\\..*Wall.*")
                .check(classes);
    }
}
