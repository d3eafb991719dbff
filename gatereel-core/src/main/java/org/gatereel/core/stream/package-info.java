/** Server-sent event streams: splitting received bytes into complete events. */
package org.gatereel.core.stream;
