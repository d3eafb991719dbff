package org.gatereel.core.statement;

import org.gatereel.core.model.TargetId;

/** What one run of a target has said of how many requests it takes. */
public record LimitFact(TargetId target, AnnouncedLimit limit) {}
