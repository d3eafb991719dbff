/**
 * Room at targets: whether a request fits into the slots and the memory of a target.
 *
 * <p>{@link org.gatereel.core.room.CountedRoom} counts it from this host's requests and the load
 * reports of other hosts. All state is soft and lapses with those reports.
 */
package org.gatereel.core.room;
