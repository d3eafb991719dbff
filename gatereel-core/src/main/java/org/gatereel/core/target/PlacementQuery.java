package org.gatereel.core.target;

import java.util.Optional;
import org.gatereel.core.model.TargetId;

/**
 * The request properties that a placement policy uses.
 *
 * @param affinityKey equal for requests that share a prompt prefix
 * @param preferred the target that probably has the prompt prefix in its cache
 * @param overShare whether the client account exceeds its fair share of the open requests at this
 *     host
 * @param now the time in milliseconds
 */
public record PlacementQuery(
    String affinityKey, Optional<TargetId> preferred, boolean overShare, long now) {}
