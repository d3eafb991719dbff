package org.gatereel.core.forward;

import org.gatereel.core.target.TargetState;

/**
 * A copy of an execution's memory at another engine.
 *
 * @param holder the engine that holds the copy
 * @param name the name of the copy at that engine
 */
record MemoryCopy(TargetState holder, String name) {}
