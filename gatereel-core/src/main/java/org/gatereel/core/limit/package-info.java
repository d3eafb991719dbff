/**
 * Request rate limits that targets announce, and how all hosts together keep to them.
 *
 * <p>Hosts exchange announced limits as facts about an incarnation of a target. For each target one
 * host issues tokens out of its limit, and every host acquires a token before it sends a request.
 */
package org.gatereel.core.limit;
