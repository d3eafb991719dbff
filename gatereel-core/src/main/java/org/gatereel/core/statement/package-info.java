/**
 * Announcements that targets make about themselves in responses, and the facts that hosts store and
 * exchange about them.
 *
 * <p>A fact is valid for one incarnation of a target. Its consequences are decided elsewhere.
 */
package org.gatereel.core.statement;
