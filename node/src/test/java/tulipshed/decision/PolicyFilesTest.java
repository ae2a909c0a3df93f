package tulipshed.decision;

import static com.tngtech.archunit.base.DescribedPredicate.describe;
import static com.tngtech.archunit.core.domain.JavaCall.Predicates.target;
import static com.tngtech.archunit.core.domain.properties.HasName.Predicates.name;
import static com.tngtech.archunit.core.domain.properties.HasOwner.Predicates.With.owner;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.BalancerActions;
import tulipshed.decision.api.BalancerSettings;
import tulipshed.decision.api.ProtocolRules;

/** Each class of the decision module that makes decisions is listed under {@code policy} in the deployment file. */
class PolicyFilesTest {
    private static final Path REPOSITORY = Path.of("..");
    private static final Pattern POLICY_LINE = Pattern.compile("(?m)^policy = \\[(.*)]$");
    private static final Pattern QUOTED = Pattern.compile("\"([^\"]*)\"");

    /** The classes that hold state, count or connect components and make no decisions; the rules below enforce that. */
    private static final Set<String> TYPES_WITHOUT_DECISIONS = Set.of(
            "ActiveSettings",
            "BalancerParts",
            "ConnectionGroup",
            "DecayingCounter",
            "EndpointPool",
            "EndpointPools",
            "EndpointState",
            "EndpointTable",
            "Hashing",
            "IdleConnection",
            "IndexedSet",
            "MachineType",
            "MovingAverages",
            "RejectionLog",
            "RequestState",
            "RequestTable");

    /**
     * The package of events, actions, settings and their value types: the interface between the module and its callers.
     */
    private static final String API_PACKAGE = "tulipshed.decision.api";

    private final JavaClasses classes = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("tulipshed.decision");

    @Test
    void eachClassIsEitherPolicyOrMakesNoDecisions() throws IOException {
        Set<String> classified = new TreeSet<>(policyTypes());
        classified.addAll(TYPES_WITHOUT_DECISIONS);
        assertEquals(classified, topLevelTypes());
    }

    @Test
    void noClassIsBoth() throws IOException {
        Set<String> both = new TreeSet<>(policyTypes());
        both.retainAll(TYPES_WITHOUT_DECISIONS);
        assertEquals(Set.of(), both);
    }

    @Test
    void policyNamesFilesThatExist() throws IOException {
        for (String file : policyFiles()) {
            assertTrue(Files.isRegularFile(REPOSITORY.resolve(file)), file);
        }
    }

    /** The types of the interface have no state beyond their values: interfaces, enums and records. */
    @Test
    void theApiPackageHoldsOnlyInterfacesEnumsAndRecords() {
        classes()
                .that()
                .resideInAPackage(API_PACKAGE)
                .and()
                .doNotHaveSimpleName("package-info")
                .should()
                .beInterfaces()
                .orShould()
                .beEnums()
                .orShould()
                .beRecords()
                .check(classes);
    }

    @Test
    void onlyPolicyClassesCallActions() {
        noClasses()
                .that(makeNoDecisions())
                .should()
                .callMethodWhere(target(owner(describe(
                                "the actions of the balancer", type -> type.isEquivalentTo(BalancerActions.class))))
                        .and(DescribedPredicate.not(target(name("log")))))
                .check(classes);
    }

    @Test
    void onlyPolicyClassesDrawRandomNumbersOrReadTheRulesOfTheSettings() {
        noClasses()
                .that(makeNoDecisions())
                .and(describe(
                        "do not connect the components",
                        type -> !type.getSimpleName().equals("BalancerParts")))
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(java.util.SplittableRandom.class, ProtocolRules.class)
                .check(classes);
    }

    private static DescribedPredicate<JavaClass> makeNoDecisions() {
        return describe(
                "are not listed as policy",
                type -> TYPES_WITHOUT_DECISIONS.contains(topLevel(type).getSimpleName())
                        || (type.getPackageName().equals(API_PACKAGE) && !type.isInterface() && !isSettings(type)));
    }

    private static boolean isSettings(JavaClass type) {
        return type.isEquivalentTo(BalancerSettings.class) || type.isEquivalentTo(ProtocolRules.class);
    }

    private Set<String> topLevelTypes() {
        return classes.stream()
                .filter(type -> !type.getPackageName().equals(API_PACKAGE))
                .map(PolicyFilesTest::topLevel)
                .map(JavaClass::getSimpleName)
                .filter(name -> !name.equals("package-info"))
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static JavaClass topLevel(JavaClass type) {
        return type.getEnclosingClass().map(PolicyFilesTest::topLevel).orElse(type);
    }

    private static Set<String> policyTypes() throws IOException {
        return policyFiles().stream()
                .map(file -> Path.of(file).getFileName().toString().replace(".java", ""))
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static Set<String> policyFiles() throws IOException {
        String deployment = Files.readString(REPOSITORY.resolve("deploy/balancer.toml"));
        Matcher policyLine = POLICY_LINE.matcher(deployment);
        assertTrue(policyLine.find(), "deploy/balancer.toml has no policy line");
        return QUOTED.matcher(policyLine.group(1))
                .results()
                .map(match -> match.group(1))
                .collect(Collectors.toSet());
    }
}
