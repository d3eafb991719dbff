package org.gatereel.core.choice;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.TargetId;

/** What is the same for all candidates of one choice. */
record Situation(
    long now,
    DataCentre here,
    int fitting,
    DataCentreDoubts doubts,
    UsualErrors errors,
    Optional<TargetId> readAt,
    RandomGenerator random) {}
