package org.gatereel.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noFields;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

@AnalyzeClasses(
    packages = "org.gatereel.core",
    importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
  @ArchTest
  static final ArchRule THE_CORE_HAS_NO_INPUT_OR_OUTPUT =
      noClasses()
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.net..",
              "java.nio.file..",
              "java.nio.channels..",
              "okhttp3..",
              "io.netty..",
              "io.jooby..",
              "java.util.concurrent..")
          .orShould()
          .dependOnClassesThat()
          .haveNameMatching("java.io.(File|Input|Output|Reader|Writer|Print).*");

  @ArchTest
  static final ArchRule THE_CORE_HAS_NO_CLOCK_OR_RANDOMNESS =
      noClasses()
          .should()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(Math.class, "random")
          .orShould()
          .dependOnClassesThat()
          .haveNameMatching("java.time.Clock|java.util.Random|java.util.UUID|java.lang.Thread");

  @ArchTest
  static final ArchRule THE_CORE_HAS_NO_MUTABLE_STATIC_FIELDS =
      noFields().that().areStatic().should().notBeFinal();

  @ArchTest
  static final ArchRule PACKAGES_THAT_FORWARDING_USES_DO_NOT_DEPEND_ON_IT =
      noClasses()
          .that()
          .resideInAnyPackage(
              "org.gatereel.core.configuration..",
              "org.gatereel.core.document..",
              "org.gatereel.core.retry..",
              "org.gatereel.core.stream..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("org.gatereel.core.forward..");
}
