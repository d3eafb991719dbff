package org.gatereel.core.target;

import java.util.Optional;
import org.gatereel.core.model.TargetId;

/**
 * What a placement policy may go by.
 *
 * @param affinityKey equal for requests that share a prompt prefix
 * @param preferred the target that probably caches this very prefix
 * @param overShare whether the account has more than its share of what is open at this host
 */
public record PlacementQuery(
    String affinityKey, Optional<TargetId> preferred, boolean overShare, long now) {}
