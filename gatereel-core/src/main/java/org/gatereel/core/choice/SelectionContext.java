package org.gatereel.core.choice;

import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.target.TargetState;

/** The inputs that all candidates of one selection share. */
record SelectionContext(
    long now,
    DataCentre localDataCentre,
    int fittingRequests,
    Optional<Predicate<TargetState>> room,
    DataCentreFailures dataCentreFailures,
    ErrorBaseline errorBaseline,
    Optional<TargetId> promptCachedAt,
    RandomGenerator random) {}
