package org.gatereel.core.choice;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.TargetId;

/** The inputs that all candidates of one selection share. */
record SelectionContext(
    long now,
    DataCentre localDataCentre,
    int fittingRequests,
    DataCentreFailures dataCentreFailures,
    ErrorBaseline errorBaseline,
    Optional<TargetId> promptCachedAt,
    RandomGenerator random) {}
