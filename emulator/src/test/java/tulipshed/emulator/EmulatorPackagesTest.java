package tulipshed.emulator;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

class EmulatorPackagesTest {
    private final JavaClasses classes = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("tulipshed.emulator");

    @Test
    void packagesDoNotImportInACircle() {
        slices().matching("tulipshed.emulator.(*)..").should().beFreeOfCycles().check(classes);
    }

    /** A checker that shared code with what it checks would share its mistakes. */
    @Test
    void checkersAndEngineKnowNothingOfTheNode() {
        noClasses()
                .that()
                .resideInAnyPackage("tulipshed.emulator.invariants", "tulipshed.emulator.engine")
                .should()
                .dependOnClassesThat(com.tngtech.archunit.base.DescribedPredicate.describe(
                        "are of the node",
                        c -> c.getPackageName().startsWith("tulipshed.")
                                && !c.getPackageName().startsWith("tulipshed.emulator.invariants")
                                && !c.getPackageName().startsWith("tulipshed.emulator.engine")))
                .check(classes);
    }

    /** What the package page of the model says. */
    @Test
    void theModelUsesEngineScenariosPoliciesAndInvariantsOnly() {
        noClasses()
                .that()
                .resideInAPackage("tulipshed.emulator.model")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "tulipshed.emulator.acceptance",
                        "tulipshed.emulator.cli",
                        "tulipshed.emulator.faultinjection",
                        "tulipshed.emulator.loadtest",
                        "tulipshed.emulator.results")
                .check(classes);
    }

    /** What is emulated must not ask the machine for its time or its chance. */
    @Test
    void theWorldHasNoClockButItsOwn() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "tulipshed.emulator.policy", "tulipshed.emulator.scenario", "tulipshed.emulator.invariants")
                .should()
                .dependOnClassesThat()
                .haveFullyQualifiedName("tulipshed.time.SystemClock")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.util.Random")
                .check(classes);
    }
}
