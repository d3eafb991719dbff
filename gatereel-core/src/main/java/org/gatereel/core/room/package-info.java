/** Room at targets: whether a request fits into the slots and the memory of a target. */
package org.gatereel.core.room;
