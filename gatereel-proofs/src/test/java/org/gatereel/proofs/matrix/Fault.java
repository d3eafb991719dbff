package org.gatereel.proofs.matrix;

/** Something that goes wrong, and later heals unless it is a death. */
interface Fault<S extends Scene> {
  String name();

  void inject(S scene);
}
