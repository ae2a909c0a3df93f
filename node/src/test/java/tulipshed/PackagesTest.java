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
    void packagesHaveNoCyclicDependencies() {
        slices().matching("tulipshed.(*)..").should().beFreeOfCycles().check(classes);
    }

    @Test
    void coreAndDecisionModuleDoNotDependOnInputOrOutput() {
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

    /**
     * Rules treat addresses as bytes. They use nothing of XNIO, {@code java.io} and {@code java.nio}, and do not depend on
     * the proxy core, the operators' files or the configuration.
     */
    @Test
    void rulesDoNotDependOnInputOutputOrTheNode() {
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
    void decisionModuleDoesNotDependOnTheNode() {
        noClasses()
                .that()
                .resideInAPackage("tulipshed.decision..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("tulipshed.proxy..", "tulipshed.limits..", "tulipshed.time..", "tulipshed.config..")
                .check(classes);
    }

    /**
     * Only {@code SystemWallClock} reads the wall clock; it is a type of its own, so that it cannot be mistaken for the
     * monotonic clock.
     */
    @Test
    void onlySystemWallClockReadsTheWallClock() {
        noClasses()
                .that()
                .doNotHaveFullyQualifiedName("tulipshed.time.SystemWallClock")
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat(DescribedPredicate.describe(
                        "represent calendar time",
                        c -> (c.getPackageName().startsWith("java.time") && !c.isEquivalentTo(Duration.class))
                                || c.isEquivalentTo(Date.class)
                                || c.isAssignableTo(Calendar.class)))
                .check(classes);
    }

    /** Decisions, deadlines and measured durations must not depend on a clock that can be stepped. */
    @Test
    void decisionsDoNotDependOnTheWallClock() {
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
