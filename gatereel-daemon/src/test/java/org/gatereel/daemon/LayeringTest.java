package org.gatereel.daemon;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

@AnalyzeClasses(packages = "org.gatereel", importOptions = ImportOption.DoNotIncludeTests.class)
class LayeringTest {
  @ArchTest
  static final ArchRule MODULES_DEPEND_DOWNWARD_ONLY =
      layeredArchitecture()
          .consideringOnlyDependenciesInLayers()
          .layer("core")
          .definedBy("org.gatereel.core..")
          .layer("wire")
          .definedBy("org.gatereel.wire..")
          .layer("adapters")
          .definedBy("org.gatereel.adapters..")
          .layer("daemon")
          .definedBy("org.gatereel.daemon..")
          .whereLayer("daemon")
          .mayNotBeAccessedByAnyLayer()
          .whereLayer("wire")
          .mayOnlyBeAccessedByLayers("daemon")
          .whereLayer("adapters")
          .mayOnlyBeAccessedByLayers("daemon")
          .whereLayer("core")
          .mayOnlyBeAccessedByLayers("wire", "adapters", "daemon");
}
