package org.gatereel.standins;

import java.util.function.Consumer;
import org.gatereel.standins.load.GenerationCaller;

/** Who watches tokens in tests. */
final class Watchers {
  static final GenerationCaller.Watcher NONE = ids(id -> {});

  private Watchers() {}

  static GenerationCaller.Watcher ids(Consumer<String> ids) {
    return new GenerationCaller.Watcher() {
      @Override
      public void token(int offset, String id, String token) {
        ids.accept(id);
      }

      @Override
      public void reconnected(String host, String why) {
        // Nothing to note.
      }
    };
  }
}
