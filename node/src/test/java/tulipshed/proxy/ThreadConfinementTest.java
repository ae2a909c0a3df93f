package tulipshed.proxy;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** The state of the core is confined to the event-loop thread: none of its classes starts or coordinates threads. */
class ThreadConfinementTest {
    @Test
    void coreUsesNoThreadsOrLocks() {
        noClasses()
                .that()
                .resideInAPackage("tulipshed.proxy")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.util.concurrent..")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(new ClassFileImporter()
                        .withImportOption(new ImportOption.DoNotIncludeTests())
                        .importPackages("tulipshed.proxy"));
    }
}
