package org.gatereel.core.choice;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.TargetId;

/** What is the same for all candidates of one choice. */
record SelectionContext(
    long now,
    DataCentre localDataCentre,
    int fittingRequests,
    DataCentreFailures dataCentreFailures,
    ErrorBaseline errorBaseline,
    Optional<TargetId> promptCachedAt,
    RandomGenerator random) {}
