package org.gatereel.core.choice;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.target.TargetState;

/**
 * The data centres where lately more targets of a service failed than worked, and by how many.
 *
 * <p>A target that nobody asked says nothing. Who has few requests may have seen failures alone, so
 * how many there were decides between two. A target found to have ended counts as well: those
 * beside it may have ended with it, which the list does not tell yet.
 */
final class DataCentreDoubts {
  private final Map<DataCentre, Integer> doubts = new HashMap<>();

  private DataCentreDoubts() {}

  /** Sums up what was seen of targets, each by {@link Evidence#doubt}. */
  static DataCentreDoubts of(Iterable<TargetState> targets, ToIntFunction<TargetState> doubt) {
    DataCentreDoubts summed = new DataCentreDoubts();
    for (TargetState target : targets) {
      summed.doubts.merge(
          target.description().dataCentre(), doubt.applyAsInt(target), Integer::sum);
    }
    summed.doubts.values().removeIf(failures -> failures <= 0);
    return summed;
  }

  /** Returns by how many targets a data centre is doubted, 0 if it is not. */
  int of(DataCentre dataCentre) {
    return doubts.getOrDefault(dataCentre, 0);
  }
}
