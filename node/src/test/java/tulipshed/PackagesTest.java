package tulipshed;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
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
}
