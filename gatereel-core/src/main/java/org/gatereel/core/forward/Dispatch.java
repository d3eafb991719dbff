package org.gatereel.core.forward;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.TargetDescription;

/**
 * One attempt of a request at one target.
 *
 * @param account the client account that is sent to the target
 * @param remainingMillis how long the target may work on the request
 * @param lastEventId the last event that the caller has; a stream resumes after it
 * @param copyTo the engine that is to hold a copy of the execution's memory
 * @param continueFrom the name of the copy at this target to continue from
 * @param urgency how early the engine is to admit the request, from 0 to 9; 0 is first
 */
public record Dispatch(
    ForwardRequest request,
    TargetDescription target,
    Optional<AccountId> account,
    long remainingMillis,
    OptionalLong lastEventId,
    Optional<Address> copyTo,
    Optional<String> continueFrom,
    OptionalInt urgency) {}
